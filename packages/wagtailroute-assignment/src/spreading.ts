/**
Selection of candidates spread over failure domains.

Candidates are ordered by their rank within their failure domain and then by score. A prefix of that order never has two
candidates in one failure domain while another domain has an unselected one. The selection of n candidates is a prefix
of the selection of n + 1, so hosts that assume different sizes agree on the smaller selection.
*/
import type * as core from 'wagtailroute-core';

/**
A candidate with its score; the lowest score is preferred. Equal scores are ordered by id, so that all hosts agree.
*/
export type Candidate = {
	readonly id: string;
	readonly failureDomain: core.FailureDomain;
	readonly score: number;
};

/**
A candidate with its rank by score within its failure domain, from 0.
*/
export type RankedCandidate<Item extends Candidate = Candidate> = {
	readonly candidate: Item;
	readonly rank: number;
};

/**
Orders two candidates by score, then by id.
*/
export function compareCandidates(left: Candidate, right: Candidate): number {
	if (left.score !== right.score) {
		return left.score - right.score;
	}

	return left.id < right.id ? -1 : Number(left.id > right.id);
}

/**
Orders two ranked candidates by rank, then by score, then by id.
*/
export function compareRanked(left: RankedCandidate, right: RankedCandidate): number {
	return left.rank === right.rank ? compareCandidates(left.candidate, right.candidate) : left.rank - right.rank;
}

/**
Returns the first `size` candidates in the order of rank, score and id.
*/
export function selectAcrossDomains<Item extends Candidate>(
	candidates: readonly Item[],
	size: number,
): ReadonlyArray<RankedCandidate<Item>> {
	const byDomain = Map.groupBy(candidates, candidate => candidate.failureDomain);
	const ranked: Array<RankedCandidate<Item>> = [];
	for (const group of byDomain.values()) {
		group.sort(compareCandidates);
		for (const [rank, candidate] of group.entries()) {
			ranked.push({candidate, rank});
		}
	}

	ranked.sort(compareRanked);
	return ranked.slice(0, size);
}
