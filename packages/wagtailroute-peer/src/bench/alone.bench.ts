/**
What messages between hosts cost when they come alone, as they mostly do on a quiet host: a notification that shares its
request with no other, a call or notification that opens its connection first, and a datagram. Processor time is that of
both ends, less that of the pauses between the messages; that of calls that open a connection includes the relay's. Bytes are
those of the connections, TLS included, without TCP and IP headers. A datagram's bytes include those.
*/
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as peer from '../index.ts';
import {findFreePort, openRelay, type Relay} from './relay.ts';

const CONTENT_BYTES = [50, 200, 500, 1000] as const;
const MESSAGES = 300;
const CONNECTIONS = 100;
const TIMEOUT_MILLISECONDS = 5000;
const CLOSE_DELAY_MILLISECONDS = 5;
const PAUSE_MILLISECONDS = 3;
const IP_AND_UDP_BYTES = 28;
const TAG_BYTES = 16;

/**
A datagram may cost at most this part of a call.
*/
const MAX_DATAGRAM_COST_FRACTION = 0.7;

type Address = {readonly ip: string; readonly port: number};

type Bench = {
	readonly left: peer.Peer;
	readonly right: peer.Peer;
	readonly relay: Relay;
	readonly direct: Address;
	readonly relayed: Address;
};

type Cost = {readonly microseconds: number; readonly bytes: number};

/**
Measures all sizes.
*/
export async function run() {
	const bench = await openBench();
	await measureCalls(bench, CONTENT_BYTES[0]);
	await measureNotifications(bench, CONTENT_BYTES[0]);
	const pause = await measure(bench.relay, MESSAGES, async () => undefined);
	const rows = [];
	for (const contentBytes of CONTENT_BYTES) {
		// eslint-disable-next-line no-await-in-loop -- One measurement at a time.
		rows.push(await measureSize(bench, contentBytes, pause.microseconds));
	}

	await Promise.all([bench.left.close(), bench.right.close()]);
	await bench.relay.close();
	const broken = rows
		.filter(row => row.datagramMicroseconds > row.callMicroseconds * MAX_DATAGRAM_COST_FRACTION)
		.map(row => `a datagram of ${row.contentBytes} bytes costs more than ${MAX_DATAGRAM_COST_FRACTION} of a call`);
	return {title: 'Messages between hosts that come alone: cost by size of content', rows, broken};
}

async function openBench(): Promise<Bench> {
	const direct = {ip: '127.0.0.1', port: await findFreePort()};
	const right = await peer.openPeer({self: 'right', address: direct, secret: 's'});
	right.registerMethod('echo', () => ({}));
	const relay = await openRelay(direct.port);
	const left = await peer.openPeer({self: 'left', address: {ip: '127.0.0.1', port: await findFreePort()}, secret: 's'});
	return {
		left, right, relay, direct, relayed: {ip: '127.0.0.1', port: relay.port},
	};
}

async function measureSize(bench: Bench, contentBytes: number, pause: number) {
	const calls = await measureCalls(bench, contentBytes);
	const notifications = await measureNotifications(bench, contentBytes);
	const connections = await measureConnections(bench, contentBytes);
	const datagrams = await measureDatagrams(bench, contentBytes);
	return {
		contentBytes,
		callMicroseconds: Math.round(calls.microseconds - pause),
		callBytes: Math.round(calls.bytes),
		notificationMicroseconds: Math.round(notifications.microseconds - pause),
		notificationBytes: Math.round(notifications.bytes),
		connectingCallMicroseconds: Math.round(connections.microseconds - pause),
		connectingCallBytes: Math.round(connections.bytes),
		datagramMicroseconds: Math.round(datagrams.microseconds - pause),
		datagramBytes: Math.round(datagrams.bytes),
	};
}

async function measureCalls({
	left, relay, relayed, direct,
}: Bench, size: number): Promise<Cost> {
	const callAt = (address: Address) => async () => {
		await left.call(address, 'echo', {text: 'x'.repeat(size)}, TIMEOUT_MILLISECONDS);
	};

	return measureBoth(relay, callAt(direct), callAt(relayed));
}

/**
Processor time of the direct way, bytes of the way through the relay.
*/
async function measureBoth(relay: Relay, direct: () => Promise<void>, relayed: () => Promise<void>): Promise<Cost> {
	await direct();
	await relayed();
	const {microseconds} = await measure(relay, MESSAGES, direct);
	const {bytes} = await measure(relay, MESSAGES, relayed);
	return {microseconds, bytes};
}

async function measureNotifications({
	left, right, relay, relayed, direct,
}: Bench, size: number): Promise<Cost> {
	const notifyAt = (address: Address) => async () => {
		const arrived = Promise.withResolvers<void>();
		const teardown = right.registerMethod('tell', () => {
			arrived.resolve();
		});
		left.notify(address, 'tell', {text: 'x'.repeat(size)});
		await arrived.promise;
		teardown();
	};

	return measureBoth(relay, notifyAt(direct), notifyAt(relayed));
}

async function measureConnections({left, relay, relayed}: Bench, size: number): Promise<Cost> {
	return measure(relay, CONNECTIONS, async () => {
		relay.closeConnections();
		await timers.setTimeout(CLOSE_DELAY_MILLISECONDS);
		const answer = await left.call(relayed, 'echo', {text: 'x'.repeat(size)}, TIMEOUT_MILLISECONDS);
		answer.unwrap();
	});
}

async function measureDatagrams({
	left, right, relay, direct,
}: Bench, size: number): Promise<Cost> {
	const parameters = {text: 'x'.repeat(size)};
	const cost = await measure(relay, MESSAGES, async () => {
		const arrived = Promise.withResolvers<void>();
		const teardown = right.registerDatagramHandler(() => {
			arrived.resolve();
		});
		left.sendDatagram(direct, 'tell', parameters);
		await arrived.promise;
		teardown();
	});
	const payload = JSON.stringify({jsonrpc: '2.0', method: 'tell', params: parameters});
	return {microseconds: cost.microseconds, bytes: payload.length + TAG_BYTES + IP_AND_UDP_BYTES};
}

async function measure(relay: Relay, count: number, work: () => Promise<void>): Promise<Cost> {
	relay.collectBytes();
	const before = process.cpuUsage();
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- One after the other: they come alone.
		await work();
		// Longer than an answer takes, so that the next notification doesn't join this one; the same for all, so that all meet an idle process.
		// eslint-disable-next-line no-await-in-loop -- As above.
		await timers.setTimeout(PAUSE_MILLISECONDS);
	}

	const used = process.cpuUsage(before);
	return {microseconds: (used.user + used.system) / count, bytes: relay.collectBytes() / count};
}
