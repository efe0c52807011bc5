/**
Queue of updates to disseminate: each update is piggybacked on probes and gossip until this host has sent it often
enough.

When every host sends an update ln(n) + 4 times, few hosts out of thousands miss it, even when one message in five is
lost; the digest exchange reaches these. The queue keeps only the newest update about each host, so the size of the fleet
bounds it.
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
A queued update, its size in JSON, and how often this host has sent it.
*/
export type QueuedUpdate = {readonly update: Update; readonly bytes: number; transmissions: number};

/**
Queued updates by the host that each is about.
*/
export type UpdateQueue = Map<core.HostId, QueuedUpdate>;

/**
Returns the bytes of an update in a message's JSON, with its comma.
*/
export function getUpdateBytes(update: Update): number {
	return JSON.stringify(update).length + 1;
}

/**
Queues an update in place of an older one about the same host. A full queue drops the update with the most transmissions.
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
Selects the updates with the fewest transmissions that fit into one message, counts the transmission, and drops those
that were sent often enough.
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
Splits updates into lists that each fit into one message.
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
