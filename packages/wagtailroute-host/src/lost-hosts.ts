/**
Detection of lost hosts for the records: the leader marks their running requests `unknown`, and reclaims the shares of
hosts that have left for good.

Without it, when a host dies between claim and settlement, its callers get `running` until the time budget of the request is
over. The commands follow only from the current records and members, so a new leader needs no memory of its predecessor. A
host that is wrongly taken for dead loses nothing: its settlement still counts when it arrives.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type {Member} from './context.ts';

/**
A command about a lost host.
*/
export type LostHostCommand = Extract<records.Command, {readonly name: 'lose-host' | 'forget-host'}>;

/**
Detects lost hosts; the leader calls it periodically.
*/
export type LostHostDetector = {
	readonly findCommands: (members: ReadonlyMap<core.HostId, Member>, holders: readonly records.RecordHolder[]) => readonly LostHostCommand[];
};

/**
Creates the detector. A holder must look lost in two calls in a row: the first claim of a restarted host may arrive before
the update of its membership.
*/
export function createLostHostDetector(): LostHostDetector {
	let suspected: ReadonlySet<string> = new Set();
	let known: ReadonlyMap<core.HostId, Member> = new Map();
	const forgotten = new Set<core.HostId>();
	return {
		findCommands(members, holders) {
			const lost = holders.filter(holder => isLost(members.get(holder.host), holder));
			const confirmed = lost.filter(holder => suspected.has(getHolderKey(holder)));
			suspected = new Set(lost.map(holder => getHolderKey(holder)));
			const left = [...known.keys(), ...members.keys()].filter(host => hasLeft(members.get(host)) && !forgotten.has(host));
			for (const host of left) {
				forgotten.add(host);
			}

			for (const host of forgotten) {
				if (!hasLeft(members.get(host))) {
					forgotten.delete(host);
				}
			}

			known = members;
			return [
				...confirmed.map((payload): LostHostCommand => ({name: 'lose-host', stampedAt: 0, payload})),
				...new Set(left).values().map((host): LostHostCommand => ({name: 'forget-host', stampedAt: 0, payload: {host}})),
			];
		},
	};
}

/**
Returns whether the process that holds records is gone. A member that the leader doesn't know is not lost: the leader itself
may have just started.
*/
function isLost(member: Member | undefined, holder: records.RecordHolder): boolean {
	return member !== undefined
		&& (member.state === 'dead' || member.state === 'left' || member.boot !== holder.bootId);
}

/**
Returns whether a host has left for good: it said so, or was forgotten. A dead host may only be out of reach and still use
the safe part of its shares.
*/
function hasLeft(member: Member | undefined): boolean {
	return member === undefined || member.state === 'left';
}

function getHolderKey({host, bootId}: records.RecordHolder): string {
	return JSON.stringify([host, bootId]);
}
