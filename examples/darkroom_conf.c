/*
 * Example of an operator's program: prints the configuration of a small
 * installation.
 * Usage: darkroom_conf ENGINE_URL ENGINE_URL PLAIN_URL
 */
#include <stdio.h>
#include <stdlib.h>

#include "savoryconf/savoryconf.h"

static void
add_target(struct savoryconf *sc, const char *name, const char *url,
    const char *service)
{
	struct savoryconf_target target = {
	    name, url, service, "north", "dc1", true, 64};

	savoryconf_add_target(sc, &target);
}

int
main(int argc, char **argv)
{
	struct savoryconf *sc = savoryconf_new();
	GError *err = NULL;
	char *text;

	if (argc != 4)
		return 2;
	savoryconf_add_service(sc,
	    &(struct savoryconf_service){
		"assistant", kSavoryconfEngine, true, 57});
	savoryconf_add_service(sc,
	    &(struct savoryconf_service){
		"booking", kSavoryconfPlain, false, 0});
	savoryconf_add_model(
	    sc, &(struct savoryconf_model){"assistant", "darkroom-chat", "v1"});
	add_target(sc, "engine-1", argv[1], "assistant");
	add_target(sc, "engine-2", argv[2], "assistant");
	add_target(sc, "booking-1", argv[3], "booking");
	savoryconf_add_team(sc,
	    &(struct savoryconf_team){
		"students", "students-key", false, 0, 0, 1});
	savoryconf_add_team(sc,
	    &(struct savoryconf_team){
		"studios", "studios-key", false, 0, 0, 2});
	savoryconf_add_team(sc,
	    &(struct savoryconf_team){
		"operators", "operators-key", true, 0, 0, 1});
	text = savoryconf_print(sc, &err);
	if (text == NULL) {
		fprintf(stderr, "darkroom_conf: %s\n", err->message);
		return 1;
	}
	puts(text);
	free(text);
	savoryconf_free(sc);
	return 0;
}
