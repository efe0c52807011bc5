/**
A thread that answers the calls of a link, and sends its address to the thread that started it.
*/
import * as threads from 'node:worker_threads';
import * as link from '../../index.ts';
import {LOOPBACK, METHODS, now} from './fixture.ts';

const server = await link.openLinkServer({
	address: LOOPBACK,
	methods: METHODS,
	now,
	onClose: () => undefined,
	onDefect(error) {
		throw error;
	},
});
threads.parentPort!.postMessage(server.address);
