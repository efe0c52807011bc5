/**
What calls between hosts cost: processor time and bytes on the wire, of a call, of a notification and of a datagram, by
the size of their content. Both ends run in this process, so the processor time is that of both.
*/
import process from 'node:process';
import * as peer from '../index.ts';
import {findFreePort, openRelay, type Relay} from './relay.ts';

const CONTENT_BYTES = [50, 200, 1000, 4000] as const;
const CALLS = 1000;
const TIMEOUT_MILLISECONDS = 5000;

/**
A notification in a batch may cost at most this part of a call.
*/
const MAX_NOTIFICATION_COST_FRACTION = 0.5;

/**
Measures all sizes through a relay that counts bytes.
*/
export async function run() {
	const targetPort = await findFreePort();
	const right = await peer.openPeer({self: 'right', address: {ip: '127.0.0.1', port: targetPort}, secret: 's'});
	const relay = await openRelay(targetPort);
	const left = await peer.openPeer({self: 'left', address: {ip: '127.0.0.1', port: await findFreePort()}, secret: 's'});
	right.registerMethod('echo', () => ({}));
	const address = {ip: '127.0.0.1', port: relay.port};
	await left.call(address, 'echo', {}, TIMEOUT_MILLISECONDS);
	const handshakeBytes = relay.collectBytes();
	const rows = [];
	for (const size of CONTENT_BYTES) {
		const content = {text: 'x'.repeat(size)};
		// eslint-disable-next-line no-await-in-loop -- One measurement at a time.
		const call = await measure(relay, async () => {
			for (let index = 0; index < CALLS; index++) {
				// eslint-disable-next-line no-await-in-loop -- One call after the other.
				await left.call(address, 'echo', content, TIMEOUT_MILLISECONDS);
			}
		});
		// eslint-disable-next-line no-await-in-loop -- One measurement at a time.
		const notification = await measure(relay, async () => {
			await notifyAll(left, right, address, content);
		});
		rows.push({
			contentBytes: size,
			handshakeBytes,
			callMicroseconds: Math.round(call.microseconds),
			callBytes: Math.round(call.bytes),
			notificationMicroseconds: Math.round(notification.microseconds),
			notificationBytes: Math.round(notification.bytes),
		});
	}

	await left.close();
	await right.close();
	await relay.close();
	const broken = rows
		.filter(row => row.notificationMicroseconds > row.callMicroseconds * MAX_NOTIFICATION_COST_FRACTION)
		.map(row => `a notification of ${row.contentBytes} bytes costs more than ${MAX_NOTIFICATION_COST_FRACTION} of a call`);
	return {title: 'Calls between hosts: cost by size of content', rows, broken};
}

async function notifyAll(left: peer.Peer, right: peer.Peer, address: {ip: string; port: number}, content: unknown): Promise<void> {
	let received = 0;
	await new Promise<void>(resolve => {
		const teardown = right.registerMethod('count', () => {
			received++;
			if (received !== CALLS) {
				return;
			}

			teardown();
			resolve();
		});
		for (let index = 0; index < CALLS; index++) {
			left.notify(address, 'count', content);
		}
	});
}

async function measure(relay: Relay, work: () => Promise<void>): Promise<{microseconds: number; bytes: number}> {
	relay.collectBytes();
	const before = process.cpuUsage();
	await work();
	const used = process.cpuUsage(before);
	return {microseconds: (used.user + used.system) / CALLS, bytes: relay.collectBytes() / CALLS};
}
