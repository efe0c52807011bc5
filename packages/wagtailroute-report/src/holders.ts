/**
Which hosts hold a copy of a host's counts.
*/
import * as crypto from 'node:crypto';
import type * as core from 'wagtailroute-core';

/**
A host that may hold copies.
*/
export type Holder = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
};

/**
Returns the holders for a host by rendezvous hashing, the first choice first: other failure domains than the host's own and
than those chosen already go before, so that one failure domain lost does not take the counts and all their copies.
*/
export function chooseHolders<Candidate extends Holder>(
	subject: Holder,
	candidates: readonly Candidate[],
	count: number,
): readonly Candidate[] {
	const rest = candidates
		.filter(({id}) => id !== subject.id)
		.map(candidate => ({candidate, score: getScore(subject.id, candidate.id)}))
		.toSorted((left, right) => left.score.localeCompare(right.score))
		.map(({candidate}) => candidate);
	const used = new Set([subject.failureDomain]);
	const chosen: Candidate[] = [];
	while (chosen.length < count && rest.length > 0) {
		const index = Math.max(0, rest.findIndex(({failureDomain}) => !used.has(failureDomain)));
		const [next] = rest.splice(index, 1);
		used.add(next!.failureDomain);
		chosen.push(next!);
	}

	return chosen;
}

function getScore(subject: core.HostId, candidate: core.HostId): string {
	return crypto.hash('sha1', `${subject}\n${candidate}`);
}
