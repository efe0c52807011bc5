/**
Hosts that are gone, as far as the records are concerned: the leader makes what they were running `unknown`, and takes back
the shares of hosts that have left for good.

What goes wrong without it: a host dies between claim and settlement, and its callers are told `running` until the budget of
the request is over. What is proposed follows from the records and the members as they are at the moment, so that a new
leader needs no memory of what the last one saw. A host that is only taken for dead loses nothing: its settlement still
stands when it comes.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type {Member} from './context.ts';

/**
A command that a lost host calls for.
*/
export type LostHostCommand = Extract<records.Command, {readonly name: 'lose-host' | 'forget-host'}>;

/**
Finds lost hosts; asked again and again by the leader.
*/
export type LostHostDetector = {
	readonly findCommands: (members: ReadonlyMap<core.HostId, Member>, holders: readonly records.RecordHolder[]) => readonly LostHostCommand[];
};

/**
Creates the watch. A holder must look lost twice in a row: the news of a restart may come after the first claim of the
host's new process.
*/
export function createLostHostDetector(): LostHostDetector {
	let suspected: ReadonlySet<string> = new Set();
	let known: ReadonlyMap<core.HostId, Member> = new Map();
	const forgotten = new Set<core.HostId>();
	return {
		findCommands(members, holders) {
			const lost = holders.filter(holder => isLost(members.get(holder.host), holder));
			const confirmed = lost.filter(holder => suspected.has(getName(holder)));
			suspected = new Set(lost.map(holder => getName(holder)));
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
A host that the leader has not heard of says nothing: the leader itself may have just started.
*/
function isLost(member: Member | undefined, holder: records.RecordHolder): boolean {
	return member !== undefined
		&& (member.state === 'dead' || member.state === 'left' || member.boot !== holder.bootId);
}

/**
A dead host may only be out of reach and go on using its safe part; it has left when it said so or was forgotten.
*/
function hasLeft(member: Member | undefined): boolean {
	return member === undefined || member.state === 'left';
}

function getName({host, bootId}: records.RecordHolder): string {
	return JSON.stringify([host, bootId]);
}
