#ifndef TEST_UNIT_JOBS_FIXTURE_H
#define TEST_UNIT_JOBS_FIXTURE_H

#include <unistd.h>

#include <string>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/jobs_task.h"
#include "standin/memstore.h"
}

/* The jobs of a daemon without targets, on a store in memory. */
struct JobsFixture : DaemonFixture {
	struct memstore *ms = memstore_new();
	struct store *st = memstore_store(ms);
	struct dialect_ops dialect = {};
	struct routebook *book = nullptr;
	struct jobs *js;
	struct offload *off;

	JobsFixture()
	{
		struct thread_pool_options pool = {1, 100};
		struct jobs_options opt = {};

		MakeRoster(BaseRow);
		off = offload_new(lp, &pool);
		dialect.decode_parts = [](const struct header_list *,
					   struct prompt_parts *parts) {
			*parts = prompt_parts{};
		};
		opt.deps.lp = lp;
		opt.deps.dialect = &dialect;
		opt.offload = off;
		opt.store = st;
		opt.session = "s0";
		opt.routes = [](void *ctx) -> const struct routebook *
		{
			return ((JobsFixture *)ctx)->book;
		};
		opt.store_is_up = [](void *) { return true; };
		opt.report_store = [](void *, bool) {};
		opt.ctx = this;
		js = jobs_new(&opt);
	}

	~JobsFixture() override
	{
		jobs_free(js);
		offload_free(off);
		memstore_free(ms);
	}

	/* Three items; large ones are stored in an object. */
	static GPtrArray *
	Items(size_t body_bytes)
	{
		GPtrArray *items = itemjob_items_new();

		for (int i = 0; i < 3; i++) {
			std::string id = "item-" + std::to_string(i);
			std::string body(body_bytes, 'x');
			itemjob_item *item =
			    itemjob_item_new(id.c_str(), "/p/x");

			item->body = g_bytes_new(body.data(), body.size());
			g_ptr_array_add(items, item);
		}
		return items;
	}

	static struct itemjob *
	Job(const char *id)
	{
		struct itemjob *job = itemjob_new(id);

		job->host = g_strdup("h.example");
		job->path = g_strdup("/p/1");
		return job;
	}

	/* Runs the loop until a condition holds, for two seconds at most. */
	template <typename F>
	bool
	Await(F holds)
	{
		for (int i = 0; i < 2000 && !holds(); i++) {
			loop_run_once(lp);
			usleep(1000);
		}
		return holds();
	}

	const struct job_run *
	Running(const char *id)
	{
		return (const struct job_run *)g_hash_table_lookup(
		    js->runs, id);
	}
};

#endif
