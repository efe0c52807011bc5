/**
News on their way: each update travels along with probes and gossip until this host has sent it often enough.

With every host sending an update ln(n) + 4 times, few hosts of thousands miss it, also when one message in five is lost; the exchange of digests tells
these. One update a host is kept, the newest, so that the queue is bounded by the fleet.
*/
import type * as core from 'wagtailroute-core';
import {
	EXTRA_TRANSMISSIONS,
	MAX_MESSAGE_BYTES,
	MAX_QUEUED_UPDATES,
	MESSAGE_OVERHEAD_BYTES,
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
export function getUpdateBytes(update: Update): number {
	return JSON.stringify(update).length + 1;
}

/**
Adds an update in place of an older one about the same host.
*/
export function queueUpdate(queue: UpdateQueue, id: core.HostId, update: Update): void {
	queue.set(id, {update, bytes: getUpdateBytes(update), transmissions: 0});
	if (queue.size <= MAX_QUEUED_UPDATES) {
		return;
	}

	const queuedUpdates = queue.entries().toArray();
	const [mostSent] = queuedUpdates.toSorted(([, left], [, right]) => right.transmissions - left.transmissions);
	queue.delete(mostSent![0]);
}

/**
Takes the least sent updates that fit into one message, and drops those that were sent often enough.
*/
export function selectUpdates(queue: UpdateQueue, hostCount: number): readonly Update[] {
	if (queue.size === 0) {
		return [];
	}

	const maxTransmissions = Math.ceil(Math.log(hostCount + 1)) + EXTRA_TRANSMISSIONS;
	const queuedUpdates = queue.entries().toArray().toSorted(([, left], [, right]) => left.transmissions - right.transmissions);
	const selected: Update[] = [];
	let remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
	for (const [id, queuedUpdate] of queuedUpdates) {
		if (queuedUpdate.bytes > remainingBytes) {
			continue;
		}

		remainingBytes -= queuedUpdate.bytes;
		selected.push(queuedUpdate.update);
		queuedUpdate.transmissions++;
		if (queuedUpdate.transmissions >= maxTransmissions) {
			queue.delete(id);
		}
	}

	return selected;
}

/**
Packs updates into as many messages as they need.
*/
export function packUpdates(updates: readonly Update[]): ReadonlyArray<readonly Update[]> {
	const packed: Update[][] = [];
	let remainingBytes = 0;
	for (const update of updates) {
		const bytes = getUpdateBytes(update);
		if (bytes > remainingBytes || packed.length === 0) {
			packed.push([]);
			remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
		}

		packed.at(-1)!.push(update);
		remainingBytes -= bytes;
	}

	return packed;
}
