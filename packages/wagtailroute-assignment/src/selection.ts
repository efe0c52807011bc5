/**
Selection of carriers for the index. The result equals that of `getCarriers` in carriers.ts, without sorting all hosts.

Only the hosts with the lowest `rounds` scores of each failure domain can be selected, where `rounds` is the number of
hosts that the largest failure domains must contribute to reach `size` hosts. For most services that is 1: one pass over
the hosts with one comparison each.
*/
import type * as core from 'wagtailroute-core';
import type {CarrierHost} from './carriers.ts';
import {getScore} from './scores.ts';
import {
	type Candidate,
	compareCandidates,
	compareRanked,
	type RankedCandidate,
} from './spreading.ts';

/**
A host with the hash of its name.
*/
export type HashedHost = CarrierHost & {readonly hash: number};

/**
Hosts by failure domain, then by host id.
*/
export type HostsByDomain = ReadonlyMap<core.FailureDomain, ReadonlyMap<core.HostId, HashedHost>>;

/**
Returns at most `size` carriers of the service with this hash, in the order of preference.
*/
export function selectCarriers(hosts: HostsByDomain, serviceHash: number, size: number): readonly RankedCandidate[] {
	const rounds = countRounds(hosts, size);
	const ranked: RankedCandidate[] = [];
	for (const domainHosts of hosts.values()) {
		const lowest = getLowest(domainHosts, serviceHash, rounds);
		for (const [rank, candidate] of lowest.entries()) {
			ranked.push({candidate, rank});
		}
	}

	ranked.sort(compareRanked);
	return ranked.slice(0, size);
}

function countRounds(hosts: HostsByDomain, size: number): number {
	const counts = hosts.values().map(domainHosts => domainHosts.size).toArray();
	const largest = Math.max(0, ...counts);
	let rounds = 0;
	let found = 0;
	while (found < size && rounds < largest) {
		rounds++;
		found = 0;
		for (const count of counts) {
			found += Math.min(count, rounds);
		}
	}

	return rounds;
}

function getLowest(hosts: ReadonlyMap<core.HostId, HashedHost>, serviceHash: number, count: number): Candidate[] {
	const lowest: Candidate[] = [];
	for (const host of hosts.values()) {
		const score = getScore(serviceHash, host.hash, host.weight);
		if (lowest.length < count || score <= lowest.at(-1)!.score) {
			insertCandidate(lowest, {id: host.id, failureDomain: host.failureDomain, score}, count);
		}
	}

	return lowest;
}

function insertCandidate(lowest: Candidate[], candidate: Candidate, count: number): void {
	let position = lowest.length;
	while (position > 0 && compareCandidates(candidate, lowest[position - 1]!) < 0) {
		position--;
	}

	lowest.splice(position, 0, candidate);
	if (lowest.length > count) {
		lowest.pop();
	}
}
