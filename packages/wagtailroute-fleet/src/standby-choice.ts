/**
Chooses the standbys: the few entry hosts, the same for all hosts and spread over the failure domains, that dispatch while no control host does.
*/
import {MAX_STANDBYS} from './constants.ts';
import {orderDispatchers} from './dispatch-order.ts';
import type {EntryHost} from './entry-hosts.ts';
import type {StandbyHost} from './settings.ts';

/**
Chooses the standbys: the first of each failure domain, then the second of each, and so on. The order depends on the hosts' IDs alone and not on
their load, so the choice changes only when one of these hosts joins or leaves.
*/
export function chooseStandbys(entries: readonly EntryHost[]): readonly StandbyHost[] {
	const ordered = orderDispatchers('standby', entries, ({id}) => id);
	const byDomain = Map.groupBy(ordered, ({failureDomain}) => failureDomain);
	return ordered
		.toSorted((left, right) => getRankInDomain(byDomain, left) - getRankInDomain(byDomain, right))
		.slice(0, MAX_STANDBYS)
		.map(({id, failureDomain, state}) => ({id, failureDomain, address: state.linkAddress}));
}

function getRankInDomain(byDomain: ReadonlyMap<string, readonly EntryHost[]>, host: EntryHost): number {
	return byDomain.get(host.failureDomain)!.indexOf(host);
}
