#ifndef TEST_UNIT_JOBS_FIXTURE_H
#define TEST_UNIT_JOBS_FIXTURE_H

#include <jansson.h>
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

	/* Runs the loop until a condition holds, for two seconds at most; each
	 * iteration takes so long in virtual time. */
	template <typename F>
	bool
	Await(F holds, int64_t step_us = 0)
	{
		for (int i = 0; i < 2000 && !holds(); i++) {
			now_us += step_us;
			loop_run_once(lp);
			usleep(1000);
		}
		return holds();
	}

	/* Stores a job of this daemon, submitted so long ago. */
	void
	Submit(const char *id, size_t body_bytes, int64_t age_ms)
	{
		struct itemjob *job = Job(id);
		GPtrArray *items = Items(body_bytes);
		bool is_new = false;

		ASSERT_EQ(kStoreOk,
		    itemjob_submit(st, job, items, "t", "s0", &is_new));
		ASSERT_TRUE(is_new);
		SetAge(id, age_ms);
		g_ptr_array_unref(items);
		itemjob_free(job);
	}

	void
	SetAge(const char *id, int64_t age_ms)
	{
		std::string key = std::string("job/jobs/") + id;
		struct store_row row = {};
		struct store_txn *txn = store_txn_new();
		int64_t now_ms = 0;

		st->ops->now_ms(st->ctx, &now_ms);
		ASSERT_EQ(kStoreOk,
		    st->ops->get(st->ctx, kCauseBatch, key.c_str(), &row));
		json_t *doc = json_loads(row.value, 0, nullptr);
		json_object_set_new(
		    doc, "accepted_ms", json_integer(now_ms - age_ms));
		char *text = json_dumps(doc, 0);
		store_txn_write(txn, key.c_str(), text);
		ASSERT_EQ(kStoreOk, st->ops->txn(st->ctx, kCauseBatch, txn));
		store_txn_free(txn);
		store_row_clear(&row);
		json_decref(doc);
		free(text);
	}

	/* Has the job taken over, as after each list of the open jobs. */
	void
	TakeOver(const char *id, const char *owner = "s0")
	{
		struct itemjob_open open = {};

		open.id = (char *)id;
		open.owner = (char *)owner;
		jobs_take_over(js, &open);
		EXPECT_TRUE(Await(
		    [&] { return !g_hash_table_contains(js->loading, id); }));
	}

	const struct job_run *
	Running(const char *id)
	{
		return (const struct job_run *)g_hash_table_lookup(
		    js->runs, id);
	}
};

#endif
