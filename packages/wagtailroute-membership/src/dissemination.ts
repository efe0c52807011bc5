/**
News on their way: each update travels along with probes and gossip until this host has sent it often enough.

With every host sending an update ln(n) + 4 times, few hosts of thousands miss it, also when one message in five is lost; the exchange of digests tells
these. One update a host is kept, the newest, so that the queue is bounded by the fleet.
*/
import type * as core from 'wagtailroute-core';
import {
	EXTRA_TRANSMISSIONS,
	MAX_MESSAGE_BYTES,
	MAX_UPDATES,
	MESSAGE_HEAD_BYTES,
} from './constants.ts';
import type {Update} from './messages.ts';

/**
An update and how often this host sent it.
*/
export type QueuedUpdate = {readonly update: Update; readonly bytes: number; transmissions: number};

/**
Updates by the host that they are about.
*/
export type UpdateQueue = Map<core.HostId, QueuedUpdate>;

/**
Bytes of an update in a message's JSON.
*/
export function measureUpdate(update: Update): number {
	return JSON.stringify(update).length + 1;
}

/**
Adds an update in place of an older one about the same host.
*/
export function queueUpdate(queue: UpdateQueue, id: core.HostId, update: Update): void {
	queue.set(id, {update, bytes: measureUpdate(update), transmissions: 0});
	if (queue.size <= MAX_UPDATES) {
		return;
	}

	const waiting = queue.entries().toArray();
	const [mostSent] = waiting.toSorted(([, left], [, right]) => right.transmissions - left.transmissions);
	queue.delete(mostSent![0]);
}

/**
Takes the least sent updates that fit into one message, and drops those that were sent often enough.
*/
export function takeUpdates(queue: UpdateQueue, hosts: number): readonly Update[] {
	if (queue.size === 0) {
		return [];
	}

	const limit = Math.ceil(Math.log(hosts + 1)) + EXTRA_TRANSMISSIONS;
	const waiting = queue.entries().toArray().toSorted(([, left], [, right]) => left.transmissions - right.transmissions);
	const taken: Update[] = [];
	let room = MAX_MESSAGE_BYTES - MESSAGE_HEAD_BYTES;
	for (const [id, queued] of waiting) {
		if (queued.bytes > room) {
			continue;
		}

		room -= queued.bytes;
		taken.push(queued.update);
		queued.transmissions++;
		if (queued.transmissions >= limit) {
			queue.delete(id);
		}
	}

	return taken;
}

/**
Packs updates into as many messages as they need.
*/
export function packUpdates(updates: readonly Update[]): ReadonlyArray<readonly Update[]> {
	const packed: Update[][] = [];
	let room = 0;
	for (const update of updates) {
		const bytes = measureUpdate(update);
		if (bytes > room || packed.length === 0) {
			packed.push([]);
			room = MAX_MESSAGE_BYTES - MESSAGE_HEAD_BYTES;
		}

		packed.at(-1)!.push(update);
		room -= bytes;
	}

	return packed;
}
