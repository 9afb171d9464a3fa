/* Stand-ins for the systems around savoryflow, one per subcommand, and their
 * HTTP server. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "http.h"

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *con, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **con_cls)
{
	void **binding = cls;
	standin_handler handler = (standin_handler)binding[0];
	struct standin_request req = {con, method, url, *con_cls};
	unsigned int status = 200;
	struct MHD_Response *res;
	enum MHD_Result queued;

	if (*con_cls == NULL) {
		*con_cls = g_string_new(NULL);
		return MHD_YES;
	}
	if (*len > 0) {
		g_string_append_len(req.body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	res = handler(binding[1], &req, &status);
	if (res == NULL)
		return MHD_NO;
	queued = MHD_queue_response(con, status, res);
	MHD_destroy_response(res);
	return queued;
}

static void
on_completed(void *cls, struct MHD_Connection *con, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	if (*con_cls != NULL)
		g_string_free(*con_cls, TRUE);
	*con_cls = NULL;
}

int
standin_serve(uint16_t port, standin_handler handler, void *ctx)
{
	void *binding[] = {(void *)handler, ctx};
	struct sockaddr_in addr = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	struct MHD_Daemon *mhd;
	sigset_t set;
	int sig;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	mhd = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD |
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
	    port, NULL, NULL, on_request, binding, MHD_OPTION_SOCK_ADDR, &addr,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_THREAD_STACK_SIZE, (size_t)131072, MHD_OPTION_END);
	if (mhd == NULL)
		return 1;
	printf("listening %d\n", port);
	fflush(stdout);
	sigwait(&set, &sig);
	_exit(0);
}

struct MHD_Response *
standin_text_response(const char *text)
{
	return MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
}

void
standin_append_history(const char *path, const char *line)
{
	char *text = g_strdup_printf("%s\n", line);
	int fd;

	if (path != NULL && path[0] != '\0') {
		fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
		if (fd >= 0) {
			ssize_t n = write(fd, text, strlen(text));

			(void)n;
			close(fd);
		}
	}
	g_free(text);
}

const char *
standin_flag(int argc, char **argv, const char *name, const char *default_value)
{
	size_t len = strlen(name);

	for (int i = 0; i < argc; i++)
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	return default_value;
}

int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "engine") == 0)
		return standin_engine(argc, argv);
	if (argc > 1 && strcmp(argv[1], "plain") == 0)
		return standin_plain(argc, argv);
	if (argc > 1 && strcmp(argv[1], "platform") == 0)
		return standin_platform(argc, argv);
	if (argc > 1 && strcmp(argv[1], "rows") == 0)
		return standin_rows(argc, argv);
	if (argc > 1 && strcmp(argv[1], "worker") == 0)
		return standin_worker(argc, argv);
	if (argc > 1 && strcmp(argv[1], "endless") == 0)
		return standin_endless(argc, argv);
	fprintf(stderr,
	    "usage: standin engine|plain|platform|rows|worker|endless "
	    "--port=N ...\n");
	return 2;
}
