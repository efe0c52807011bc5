/* eslint-disable @typescript-eslint/restrict-plus-operands, unicorn/no-await-expression-member -- Type checking doesn't look into this folder; scripts. */
/**
An upstream answers long uploads before it has read them. The consumers send the rest, as they have to, and go on to use their connections, which were kept open.
*/
import * as net from 'node:net';
import {
	fixture,
	hasTrouble,
	runCase,
	sendHeartbeats,
	sleep,
	STABILITY_MILLISECONDS,
	startHttpUpstream,
	startInstallation,
	type Tools,
	within,
} from '../lib/installation.ts';

const CONSUMERS = 12;
const BODY_BYTES = 300_000;
const PIECE_BYTES = 20_000;
const PIECE_MILLISECONDS = 20;
const EARLY_MILLISECONDS = 50;
const TIMEOUT_MILLISECONDS = 2000;
const DEADLINE_MILLISECONDS = 8000;
/**
The rule: no final answer this long after the route's timeout.
*/
const SLACK_MILLISECONDS = 500;
const MIN_UNANSWERED = 8;
const MAX_SHARE = 1 / 4;

type Sent = {readonly name: string; readonly sentAt: number; answeredAt?: number};

await runCase(import.meta.dirname, async tools => {
	const installation = await startInstallation(tools, fixture.createDocument(1, {timeoutMs: TIMEOUT_MILLISECONDS}));
	const [front] = installation.fronts;
	const address = await startHttpUpstream(tools, 'u1', (message, response) => {
		const id = message.headers['request-id'] as string;
		const isEarly = hasTrouble && message.url!.startsWith('/upload/');
		tools.record(`upstream: ${id} ${message.method} ${message.url} begins`);
		const answer = (status: number) => {
			const body = isEarly ? 'rejected' : 'served';
			tools.record(`upstream: ${id} answered with ${status}`);
			response.writeHead(status, {'request-id': id, 'response-stamp': `stamp-${id}`, 'content-length': body.length}).end(body);
		};

		if (isEarly) {
			setTimeout(() => {
				answer(500);
			}, EARLY_MILLISECONDS);
			// It reads on later.
			setTimeout(() => {
				message.resume();
			}, EARLY_MILLISECONDS * 4);
			return;
		}

		message.resume();
		message.once('end', () => {
			answer(200);
		});
	});
	sendHeartbeats(tools, installation, {id: 'u1', address, slots: CONSUMERS * 2});
	await within(10_000, async () => (await fixture.callFront(front!, '/read/join')).status === 200, 'the upstream in use');
	await sleep(STABILITY_MILLISECONDS + 1000);

	const seconds = await Promise.all(Array.from({length: CONSUMERS}, async (_, number) => consume(tools, front!.ip, number)));
	const late = seconds.filter(({sentAt, answeredAt}) => (answeredAt ?? Infinity) - sentAt > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS);
	const other = await fixture.callFront(front!, '/write/other', {method: 'POST', headers: {'request-id': 'other'}});
	tools.record(`a request on a new connection is answered with ${other.status}`);
	tools.record(`${late.length} of ${seconds.length} requests without a final answer ${TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS} ms after they were sent`);
	return late.length >= MIN_UNANSWERED && late.length > seconds.length * MAX_SHARE;
});

/**
Sends an upload and, when it is answered and sent in full, a second request on the same connection.
*/
async function consume(tools: Tools, ip: string, number: number): Promise<Sent> {
	const socket = net.connect({host: ip, port: 8144});
	let received = '';
	socket.setEncoding('latin1');
	socket.on('error', error => {
		tools.record(`consumer ${number}: ${error.message}`);
	});
	socket.on('data', text => {
		received += text;
	});
	tools.teardown(() => {
		socket.destroy();
	});
	const first = `upload-${number}`;
	socket.write(`POST /upload/${number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${first}\r\nDeadline-Ms: ${DEADLINE_MILLISECONDS}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
	for (let sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
		socket.write('x'.repeat(PIECE_BYTES));
		// eslint-disable-next-line no-await-in-loop -- One piece after the other.
		await sleep(PIECE_MILLISECONDS);
	}

	await within(5000, () => received.includes(`stamp-${first}`), `the answer to ${first}`);
	if (/^connection: close/imv.test(received)) {
		throw new Error('the connection is not kept');
	}

	tools.record(`consumer ${number}: ${first} sent in full and answered: ${received.split('\r\n', 1)[0]}, ${/^connection:.*$/imv.exec(received)?.[0]}`);
	const name = `second-${number}`;
	const second: Sent = {name, sentAt: performance.now()};
	received = '';
	socket.write(`POST /write/${number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${name}\r\nDeadline-Ms: ${DEADLINE_MILLISECONDS}\r\nContent-Length: 2\r\n\r\nok`);
	const isAnswered = await fixture.waitWithin(() => received.includes('\r\n\r\n') || socket.destroyed, DEADLINE_MILLISECONDS);
	if (isAnswered && received !== '') {
		second.answeredAt = performance.now();
	}

	const ending = second.answeredAt === undefined
		? `not answered within its ${DEADLINE_MILLISECONDS} ms`
		: `answered after ${Math.round(second.answeredAt - second.sentAt)} ms: ${received.split('\r\n', 1)[0]}`;
	tools.record(`consumer ${number}: ${name} ${ending}`);
	return second;
}
