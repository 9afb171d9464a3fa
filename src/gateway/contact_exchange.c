/* Messages with the contacts of the daemons of this data centre. */
#include "gateway/contact_exchange.h"

#include "os/clock.h"

struct contact_exchange {
	struct contact_exchange_options opt;
	uint64_t session;
	struct contacts *contacts;
	int64_t sent_us;
};

struct contact_exchange *
contact_exchange_new(const struct contact_exchange_options *opt)
{
	struct contact_exchange *ce = g_new0(struct contact_exchange, 1);

	ce->opt = *opt;
	ce->session = roster_session_hash(opt->session);
	ce->contacts = contacts_new();
	return ce;
}

void
contact_exchange_free(struct contact_exchange *ce)
{
	contacts_free(ce->contacts);
	g_free(ce);
}

static uint32_t
age_ms(int64_t from_us, int64_t to_us)
{
	return (uint32_t)CLAMP((to_us - from_us) / kUsPerMs, 0, UINT32_MAX);
}

static void
fill_wire(const struct contact *contact, int64_t now_us, Sfpeer__Contact *wire)
{
	sfpeer__contact__init(wire);
	wire->session = contact->session;
	wire->sequence = contact->sequence;
	wire->age_ms = age_ms(contact->beat_us, now_us);
	wire->leaving = contact->is_leaving;
	wire->blind = contact->is_store_unreachable;
	/* 0 means unknown. */
	if (contact->store_answered_us != 0)
		wire->store_age_ms = MAX(
		    age_ms(contact->store_answered_us, contact->beat_us), 1);
}

static void
send_contacts(struct contact_exchange *ce, const GPtrArray *to, int64_t now_us)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct contact));
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__Contact wire[kContactsPerMessage];
	Sfpeer__Contact *refs[kContactsPerMessage];

	contacts_select(ce->contacts, now_us, list);
	for (guint i = 0; i < list->len; i++) {
		fill_wire(
		    &g_array_index(list, struct contact, i), now_us, &wire[i]);
		refs[i] = &wire[i];
	}
	env.n_contacts = list->len;
	env.contacts = refs;
	for (guint i = 0; i < to->len; i++)
		ce->opt.wire->send(ce->opt.wire_ctx, to->pdata[i], &env);
	g_array_unref(list);
}

void
contact_exchange_send(
    struct contact_exchange *ce, const struct contact_status *status)
{
	int64_t now_us = loop_now_us(ce->opt.lp);
	GPtrArray *peers = roster_peers_in_data_center(
	    ce->opt.roster, ce->opt.data_center, now_us);
	GPtrArray *to = g_ptr_array_new();
	struct contact self = {
	    .session = ce->session,
	    .beat_us = now_us,
	    .is_leaving = status->is_leaving,
	    .is_store_unreachable = status->is_store_unreachable,
	    .store_answered_us = status->store_answered_us,
	};

	ce->sent_us = now_us;
	contacts_beat(ce->contacts, &self);
	contacts_neighbours(ce->opt.address, peers, to);
	send_contacts(ce, to, now_us);
	g_ptr_array_unref(to);
	g_ptr_array_unref(peers);
}

void
contact_exchange_tick(
    struct contact_exchange *ce, const struct contact_status *status)
{
	if (loop_now_us(ce->opt.lp) - ce->sent_us >= kContactPeriodUs)
		contact_exchange_send(ce, status);
}

void
contact_exchange_on_envelope(
    struct contact_exchange *ce, const Sfpeer__Envelope *env)
{
	int64_t now_us = loop_now_us(ce->opt.lp);

	for (size_t i = 0; i < env->n_contacts; i++) {
		const Sfpeer__Contact *wire = env->contacts[i];
		struct contact contact = {
		    .session = wire->session,
		    .sequence = wire->sequence,
		    .beat_us = now_us - (int64_t)wire->age_ms * kUsPerMs,
		    .is_leaving = wire->leaving,
		    .is_store_unreachable = wire->blind,
		};

		if (wire->store_age_ms != 0)
			contact.store_answered_us = contact.beat_us -
			    (int64_t)wire->store_age_ms * kUsPerMs;
		if (contacts_record(ce->contacts, &contact))
			roster_record_contact(ce->opt.roster, &contact);
	}
}
