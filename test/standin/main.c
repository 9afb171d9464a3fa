/* Stand-ins for the systems around savoryflow, one per subcommand, and their
 * HTTP server. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *con, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **con_cls)
{
	void **binding = cls;
	standin_handler handler = (standin_handler)binding[0];
	struct standin_request *req = *con_cls;
	unsigned int status = 200;
	struct MHD_Response *res;
	enum MHD_Result queued;

	if (req == NULL) {
		req = g_new0(struct standin_request, 1);
		req->body = g_string_new(NULL);
		*con_cls = req;
		return MHD_YES;
	}
	if (*len > 0) {
		g_string_append_len(req->body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	req->con = con;
	req->method = method;
	req->url = url;
	res = handler(binding[1], req, &status);
	if (res == NULL)
		return MHD_NO;
	queued = MHD_queue_response(con, status, res);
	MHD_destroy_response(res);
	return queued;
}

/* Each connection has its own thread, which reads no request meanwhile. */
static void
write_surplus(const struct standin_request *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_CONNECTION_FD);
	size_t len = strlen(req->surplus);
	size_t half = req->surplus_split_ms > 0 ? len / 2 : len;

	g_usleep((gulong)req->surplus_delay_ms * 1000);
	send(info->connect_fd, req->surplus, half, MSG_NOSIGNAL);
	g_usleep((gulong)req->surplus_split_ms * 1000);
	send(info->connect_fd, req->surplus + half, len - half, MSG_NOSIGNAL);
}

static void
on_completed(void *cls, struct MHD_Connection *con, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct standin_request *req = *con_cls;

	if (req == NULL)
		return;
	if (req->surplus != NULL && code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		write_surplus(req);
	g_string_free(req->body, TRUE);
	g_free(req->surplus);
	g_free(req);
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
