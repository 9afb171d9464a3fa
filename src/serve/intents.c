/*
 * Intents of one daemon: one thread commits the queued intents in groups, a
 * second one stores answers.
 */
#include "serve/intents.h"

#include <pthread.h>
#include <string.h>

#include "os/cpu.h"
#include "serve/routes.h"

enum {
	/* Intents per transaction. */
	kGroupMax = 50,
	/* Answers queued for the store. Beyond this the oldest is dropped,
	 * withdrawals last, and a repeated request with its key gets the answer
	 * that the outcome is unknown. */
	kAnswerQueueMax = 1000,
	kRetryWaitMs = 500,
};

struct waiting_intent {
	struct intent *in;
	bool is_settled;
};

struct answer {
	struct intent in;
	bool is_withdrawal;
};

struct intents {
	struct daemon *d;
	pthread_mutex_t lock;
	pthread_cond_t work;
	pthread_cond_t settled;
	GQueue pending;
	GQueue answers;
	bool is_stopping;
	pthread_t begin_thread;
	pthread_t answer_thread;
};

static void
collect_group(struct intents *ins, GPtrArray *group, GHashTable *keys)
{
	GList *link = ins->pending.head;

	while (link != NULL && group->len < kGroupMax) {
		struct waiting_intent *wi = link->data;
		GList *next = link->next;

		/* Two intents with the same key need separate transactions. */
		if (g_hash_table_add(keys, wi->in->key)) {
			g_ptr_array_add(group, wi);
			g_queue_delete_link(&ins->pending, link);
		}
		link = next;
	}
}

static void
commit_group(struct intents *ins, GPtrArray *group)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < group->len; i++)
		g_ptr_array_add(
		    list, ((struct waiting_intent *)group->pdata[i])->in);
	intent_begin_all(ins->d->store, list);
	g_ptr_array_unref(list);
}

static void *
begin_thread(void *arg)
{
	struct intents *ins = arg;

	pthread_mutex_lock(&ins->lock);
	while (!ins->is_stopping) {
		GPtrArray *group = g_ptr_array_new();
		GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

		while (g_queue_is_empty(&ins->pending) && !ins->is_stopping)
			pthread_cond_wait(&ins->work, &ins->lock);
		collect_group(ins, group, keys);
		pthread_mutex_unlock(&ins->lock);
		if (group->len > 0)
			commit_group(ins, group);
		cpu_account_control_thread();
		pthread_mutex_lock(&ins->lock);
		for (guint i = 0; i < group->len; i++)
			((struct waiting_intent *)group->pdata[i])->is_settled =
			    true;
		pthread_cond_broadcast(&ins->settled);
		g_hash_table_unref(keys);
		g_ptr_array_unref(group);
	}
	pthread_mutex_unlock(&ins->lock);
	return NULL;
}

static void
answer_free(struct answer *ans)
{
	intent_clear(&ans->in);
	g_free(ans);
}

static bool
answer_store(struct intents *ins, const struct answer *ans)
{
	enum store_result res = ans->is_withdrawal
	    ? intent_withdraw(ins->d->store, &ans->in)
	    : intent_finish(ins->d->store, &ans->in);

	return res == kStoreOk || res == kStoreConflict;
}

static void
wait_ms(struct intents *ins, int64_t ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += (long)(ms % 1000) * 1000000;
	until.tv_sec += ms / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&ins->work, &ins->lock, &until);
}

static void *
answer_thread(void *arg)
{
	struct intents *ins = arg;

	pthread_mutex_lock(&ins->lock);
	for (;;) {
		struct answer *ans;
		bool is_stored;

		while (g_queue_is_empty(&ins->answers) && !ins->is_stopping)
			pthread_cond_wait(&ins->work, &ins->lock);
		ans = g_queue_pop_head(&ins->answers);
		if (ans == NULL)
			break;
		pthread_mutex_unlock(&ins->lock);
		is_stored = answer_store(ins, ans);
		pthread_mutex_lock(&ins->lock);
		if (is_stored || ins->is_stopping) {
			answer_free(ans);
			continue;
		}
		g_queue_push_head(&ins->answers, ans);
		wait_ms(ins, kRetryWaitMs);
	}
	pthread_mutex_unlock(&ins->lock);
	return NULL;
}

struct intents *
intents_new(struct daemon *d)
{
	struct intents *ins = g_new0(struct intents, 1);

	ins->d = d;
	pthread_mutex_init(&ins->lock, NULL);
	pthread_cond_init(&ins->work, NULL);
	pthread_cond_init(&ins->settled, NULL);
	g_queue_init(&ins->pending);
	g_queue_init(&ins->answers);
	pthread_create(&ins->begin_thread, NULL, begin_thread, ins);
	pthread_create(&ins->answer_thread, NULL, answer_thread, ins);
	return ins;
}

void
intents_free(struct intents *ins)
{
	pthread_mutex_lock(&ins->lock);
	ins->is_stopping = true;
	pthread_cond_broadcast(&ins->work);
	pthread_mutex_unlock(&ins->lock);
	pthread_join(ins->begin_thread, NULL);
	pthread_join(ins->answer_thread, NULL);
	pthread_cond_destroy(&ins->work);
	pthread_cond_destroy(&ins->settled);
	pthread_mutex_destroy(&ins->lock);
	g_free(ins);
}

/*
 * If the daemon that began the call is down or restarted, the outcome is
 * unknown.
 */
static void
check_holder(struct intents *ins, struct intent *in)
{
	char **parts = g_strsplit(in->holder != NULL ? in->holder : "", "/", 2);
	char *self = g_strdup_printf("%" G_GUINT64_FORMAT, ins->d->incarnation);
	bool is_self =
	    parts[0] != NULL && strcmp(parts[0], ins->d->set->peer_listen) == 0;
	bool is_alive =
	    parts[0] != NULL && routes_is_alive(ins->d->routes, parts[0]);

	if (is_self && g_strcmp0(parts[1], self) != 0)
		is_alive = false;
	if (!is_alive)
		in->state = kIntentUnknown;
	g_strfreev(parts);
	g_free(self);
}

void
intents_begin(struct intents *ins, struct intent *in)
{
	struct waiting_intent wi = {in, false};

	in->attempt = g_strdup_printf(
	    "%016" G_GINT64_MODIFIER "x", daemon_unique_id(ins->d));
	in->daemon = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
	    ins->d->set->peer_listen, ins->d->incarnation);
	in->state = kIntentStoreDown;
	pthread_mutex_lock(&ins->lock);
	g_queue_push_tail(&ins->pending, &wi);
	pthread_cond_broadcast(&ins->work);
	while (!wi.is_settled && !ins->is_stopping)
		pthread_cond_wait(&ins->settled, &ins->lock);
	g_queue_remove(&ins->pending, &wi);
	pthread_mutex_unlock(&ins->lock);
	if (in->state == kIntentInProgress)
		check_holder(ins, in);
}

/* A key whose withdrawal is dropped stays in progress, though its caller was
 * told that the call did not run. */
static void
drop_oldest_answer(struct intents *ins)
{
	struct answer *ans = g_queue_peek_head(&ins->answers);

	for (GList *l = ins->answers.head; l != NULL; l = l->next)
		if (!((struct answer *)l->data)->is_withdrawal) {
			ans = l->data;
			break;
		}
	g_queue_remove(&ins->answers, ans);
	answer_free(ans);
}

static void
queue_answer(struct intents *ins, struct intent *in, bool is_withdrawal)
{
	struct answer *ans = g_new0(struct answer, 1);

	ans->in = *in;
	ans->is_withdrawal = is_withdrawal;
	memset(in, 0, sizeof(*in));
	pthread_mutex_lock(&ins->lock);
	if (g_queue_get_length(&ins->answers) >= kAnswerQueueMax)
		drop_oldest_answer(ins);
	g_queue_push_tail(&ins->answers, ans);
	pthread_cond_broadcast(&ins->work);
	pthread_mutex_unlock(&ins->lock);
}

void
intents_finish(struct intents *ins, struct intent *in)
{
	queue_answer(ins, in, false);
}

void
intents_withdraw(struct intents *ins, struct intent *in)
{
	queue_answer(ins, in, true);
}
