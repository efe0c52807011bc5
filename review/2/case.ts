/* eslint-disable @typescript-eslint/no-loop-func, unicorn/no-await-expression-member, unicorn/prefer-promise-with-resolvers -- Type checking does not look into this folder; a script. */
/**
Heartbeats of another writer arrive, whose address is none: its port is beyond 65,535. The upstreams are sound.
*/
import * as net from 'node:net';
import {
	fixture,
	hasTrouble,
	runCase,
	sendHeartbeats,
	sleep,
	STABILITY_MILLISECONDS,
	startInstallation,
	type Tools,
	within,
} from '../lib/installation.ts';

const UPSTREAMS = 3;
const CONSUMERS = 9;
const WORK_MILLISECONDS = 700;
const DEADLINE_MILLISECONDS = 2000;
const OBSERVED_MILLISECONDS = 20_000;
/**
The rule: more than three kept connections closed without an answer to a request that was passed on to a sound upstream.
*/
const MAX_CLOSED = 3;

type Sent = {readonly id: string; isAnswered: boolean; isClosed: boolean; readonly isKept: boolean};

await runCase(import.meta.dirname, async tools => {
	const installation = await startInstallation(tools, fixture.createDocument(1));
	const [front] = installation.fronts;
	/**
	The upstream that began each request.
	*/
	const places = new Map<string, string>();
	for (let number = 1; number <= UPSTREAMS; number++) {
		const name = `u${number}`;
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const address = await startUpstream(tools, name, id => {
			places.set(id, name);
		});
		sendHeartbeats(tools, installation, {id: name, address, slots: 8});
	}

	await within(10_000, async () => (await fixture.callFront(front!, '/read/join')).status === 200, 'an upstream in use');
	const sent: Sent[] = [];
	let isStopped = false;
	const consumers = Array.from({length: CONSUMERS}, async (_, number) => {
		await consume({
			tools, ip: front!.ip, name: `c${number}`, sent, isStopped: () => isStopped,
		});
	});
	await sleep(STABILITY_MILLISECONDS + 2000);
	tools.record(`${sent.length} requests sent, ${sent.filter(item => item.isClosed).length} closed without an answer`);
	if (hasTrouble) {
		tools.record('heartbeats of another writer begin: address 127.0.0.9:80800');
		sendHeartbeats(tools, installation, {id: 'other-writer', address: '127.0.0.9:80800'});
	}

	const endedWith = await Promise.race([front!.ended, sleep(OBSERVED_MILLISECONDS)]);
	await sleep(200);
	isStopped = true;
	await Promise.all(consumers);
	if (endedWith !== undefined) {
		tools.record(`the process of the entry host has ended by itself with code ${endedWith}`);
		tools.record(front!.output().trimEnd().split('\n').slice(-18).join('\n'));
	}

	const closed = sent.filter(item => item.isClosed && item.isKept && places.has(item.id));
	for (const {id} of closed) {
		tools.record(`${id}: in progress at ${places.get(id)}, a sound upstream; its kept connection was closed without an answer`);
	}

	tools.record(`${sent.length} requests sent, ${closed.length} kept connections closed without an answer`);
	return closed.length > MAX_CLOSED;
});

/**
Starts an upstream on plain sockets.
*/
async function startUpstream(tools: Tools, name: string, onBegun: (id: string) => void): Promise<string> {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
			for (let request = takeRequest(received); request !== undefined; request = takeRequest(received)) {
				received = received.slice(request.length);
				if (request.startsWith(`GET ${fixture.HEALTH_PATH} `)) {
					socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${name}\r\nContent-Length: 0\r\n\r\n`);
					continue;
				}

				const id = /^request-id: (?<id>.*)$/imv.exec(request)!.groups!.id!;
				onBegun(id);
				setTimeout(() => {
					socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nContent-Length: 6\r\n\r\nserved`);
				}, WORK_MILLISECONDS);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	tools.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/**
Returns the first request of what was received; undefined while it is not complete.
*/
function takeRequest(received: string): string | undefined {
	const end = received.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const length = end + 4 + Number(/^content-length: (?<length>\d+)/imv.exec(received.slice(0, end))?.groups!.length ?? 0);
	return received.length < length ? undefined : received.slice(0, length);
}

/**
Sends unsafe requests one after the other on one connection.
*/
async function consume({tools, ip, name, sent, isStopped}: {
	readonly tools: Tools;
	readonly ip: string;
	readonly name: string;
	readonly sent: Sent[];
	readonly isStopped: () => boolean;
}): Promise<void> {
	const socket = net.connect({host: ip, port: 8144});
	let current: Sent | undefined;
	let received = '';
	let onChange: () => void = () => undefined;
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
		if (current === undefined || !/\r\n\r\n[\s\S]+/v.test(received)) {
			return;
		}

		current.isAnswered = true;
		onChange();
	});
	socket.once('close', () => {
		if (current?.isAnswered === false) {
			current.isClosed = true;
		}

		onChange();
	});
	for (let count = 0; !isStopped() && !socket.closed; count++) {
		const id = `${name}-${count}`;
		const request: Sent = {
			id, isAnswered: false, isClosed: false, isKept: count > 0,
		};
		current = request;
		received = '';
		sent.push(request);
		socket.write(`POST /write/${id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MILLISECONDS}\r\nContent-Length: 2\r\n\r\nok`);
		const timer = setTimeout(() => {
			onChange();
		}, DEADLINE_MILLISECONDS);
		// eslint-disable-next-line no-await-in-loop -- One request after the other.
		await new Promise<void>(resolve => {
			onChange = resolve;
		});
		clearTimeout(timer);
		if (!request.isAnswered) {
			tools.record(`${id}: ${request.isClosed ? 'the connection was closed without an answer' : 'no answer in time'}`);
			break;
		}
	}

	socket.destroy();
}
