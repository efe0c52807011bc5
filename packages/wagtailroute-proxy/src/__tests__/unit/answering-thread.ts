/**
A thread with a server that tells the starting thread its port, then of each request, and answers that request a moment later.
*/
import * as http from 'node:http';
import * as threads from 'node:worker_threads';
import * as utils from 'wagtailroute-utils';

const ANSWER_MILLISECONDS = 100;

const server = http.createServer((_message, response) => {
	threads.parentPort!.postMessage('asked');
	setTimeout(() => {
		response.end();
	}, ANSWER_MILLISECONDS);
});
const {port} = await utils.listen(server, {ip: '127.0.0.1', port: 0});
threads.parentPort!.postMessage(port);
