/**
Consumers pipeline safe requests while some upstreams break off some of their answers. The requests behind a broken answer must end as well.
*/
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import {
	createDocument,
	type Deployment,
	HOST,
	PORTS,
	putDocument,
	runCase,
	waitUntilReady,
} from '../lib-2/fleet.ts';
import {startUpstream} from '../lib-2/upstream.ts';

const isTroubled = process.env.TROUBLE !== '0';
const UPSTREAMS = 10;
const SLOTS = 3;
const GARBLING_SHARE = 0.5;
const BROKEN_SHARE = 0.02;
/**
Time of one disruption, and from the beginning of one to that of the next.
*/
const GARBLING_MILLISECONDS = 5500;
const GARBLING_PERIOD_MILLISECONDS = 6000;
const RUN_MILLISECONDS = 60_000;
const CONSUMERS = 12;
const BATCH = 4;
const TIMEOUT_MILLISECONDS = 2000;
const DEADLINE_MILLISECONDS = 3000;
/**
The rule: eight or more requests, and more than half of those that are unanswered at their route's time, have no answer this long after it.
*/
const SLACK_MILLISECONDS = 500;
const MIN_HUNG = 8;
const BODY = 'x'.repeat(400);

type PipelinedRequest = {
	readonly id: string;
	readonly sentAt: number;
	/**
	When it was answered or its connection ended.
	*/
	endedAt: number;
	status: number;
};

/**
Reads the complete answers at the beginning of what was received. Returns their statuses, and the bytes behind them.
*/
function readAnswers(received: buffer.Buffer): {readonly statuses: readonly number[]; readonly rest: buffer.Buffer} {
	const statuses: number[] = [];
	let rest = received;
	for (;;) {
		const headEnd = rest.indexOf('\r\n\r\n');
		const head = headEnd === -1 ? '' : rest.subarray(0, headEnd).toString('latin1');
		const length = Number(/^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length ?? Infinity);
		if (headEnd === -1 || rest.length < headEnd + 4 + length) {
			return {statuses, rest};
		}

		statuses.push(Number(head.split(' ', 2)[1]));
		rest = rest.subarray(headEnd + 4 + length);
	}
}

/**
Sends batches over one connection until it ends or a batch is not answered within its time limit.
*/
async function useConnection(deployment: Deployment, ip: string, {name, end, requests}: {
	readonly name: string;
	readonly end: number;
	readonly requests: PipelinedRequest[];
}): Promise<void> {
	const socket = net.connect(PORTS.front, ip);
	let received: buffer.Buffer = buffer.Buffer.alloc(0);
	let pending: PipelinedRequest[] = [];
	socket.on('error', () => undefined);
	socket.on('data', (chunk: buffer.Buffer) => {
		const {statuses, rest} = readAnswers(buffer.Buffer.concat([received, chunk]));
		received = rest;
		for (const status of statuses) {
			const answered = pending.shift();
			if (answered === undefined) {
				continue;
			}

			answered.status = status;
			answered.endedAt = performance.now();
		}
	});
	socket.once('close', () => {
		for (const request of pending) {
			request.endedAt = performance.now();
		}
	});
	for (let batch = 0; !socket.closed && performance.now() < end; batch++) {
		const sentAt = performance.now();
		pending = Array.from({length: BATCH}, (_, index) => ({
			id: `${name}-${batch}-${index}`, sentAt, endedAt: Infinity, status: 0,
		}));
		requests.push(...pending);
		socket.write(pending.map(({id}) => `GET /read/${id} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MILLISECONDS}\r\n\r\n`).join(''));
		while (!socket.closed && pending.length > 0 && performance.now() - sentAt < DEADLINE_MILLISECONDS) {
			// eslint-disable-next-line no-await-in-loop -- Waits for the answers of the batch.
			await timers.setTimeout(5);
		}

		if (!socket.closed && pending.length > 0) {
			const ids = pending.map(({id}) => id).join(' ');
			deployment.record(`${ids}: no answer within ${DEADLINE_MILLISECONDS} ms on an open connection, ${received.length} bytes of one; the consumer leaves.`);
			break;
		}

		// eslint-disable-next-line no-await-in-loop -- A pause between two batches.
		await timers.setTimeout(50);
	}

	socket.destroy();
}

await runCase({folder: import.meta.dirname, controls: 3, entries: 2}, async deployment => {
	const {entries, record} = deployment;
	await timers.setTimeout(3000);
	const broken = new Set<string>();
	let garblesFrom = Infinity;
	const mayBreak = () => isTroubled && (performance.now() - garblesFrom) % GARBLING_PERIOD_MILLISECONDS < GARBLING_MILLISECONDS && Math.random() < BROKEN_SHARE;
	await Promise.all(Array.from({length: UPSTREAMS}, async (_, index) => startUpstream(deployment, {
		id: `u-${index + 1}`,
		service: 'catalogo',
		ip: deployment.createIp(100 + index),
		slots: SLOTS,
		maxConnections: 390,
		getWork: () => 100 + (Math.random() * 200),
		body: BODY,
		isBrokenOff(requestId) {
			const isBroken = index < UPSTREAMS * GARBLING_SHARE && mayBreak();
			if (isBroken) {
				broken.add(requestId);
			}

			return isBroken;
		},
	})));
	await putDocument(deployment, createDocument(1, [{
		name: 'read', type: 'safe', service: 'catalogo', timeoutMs: TIMEOUT_MILLISECONDS,
	}], {catalogo: 390}));
	for (const entry of entries) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await waitUntilReady(entry);
	}

	await timers.setTimeout(4000);
	garblesFrom = performance.now();
	const end = performance.now() + RUN_MILLISECONDS;
	const requests: PipelinedRequest[] = [];
	await Promise.all(Array.from({length: CONSUMERS}, async (_, consumer) => {
		for (let count = 0; performance.now() < end; count++) {
			// eslint-disable-next-line no-await-in-loop -- One connection after the other.
			await useConnection(deployment, entries[consumer % entries.length]!.ip, {name: `r${consumer}-${count}`, end, requests});
		}
	}));
	const late = requests.filter(({id, sentAt, endedAt}) => !broken.has(id) && endedAt - sentAt > TIMEOUT_MILLISECONDS);
	const hung = late.filter(({sentAt, endedAt}) => endedAt - sentAt > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS);
	record(`${requests.length} requests, ${requests.filter(({status}) => status === 200).length} served. ${broken.size} answers were broken off by upstreams.`);
	record(`Besides these, ${late.length} requests were unanswered at their route's ${TIMEOUT_MILLISECONDS} ms; ${hung.length} of them had no answer ${SLACK_MILLISECONDS} ms later.`);
	return hung.length < MIN_HUNG || hung.length * 2 <= late.length;
});
