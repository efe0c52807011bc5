/**
Which host to probe next: in random order, each once in a pass, mostly within the failure domain, where a probe is cheap
and most hosts are probed by hosts that share their fate; some outside it, so that the loss of a whole failure domain is
noticed. Hosts with a path fault get a share of the probes, to notice the end of the fault.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {FAULT_PROBE_INTERVAL, REMOTE_PROBE_INTERVAL, SMALL_FLEET} from './constants.ts';
import {isPresent} from './members.ts';
import type {MembershipState} from './state.ts';
import {listPresent} from './table.ts';

/**
Picks the next host to probe, undefined when there is none.
*/
export function pickTarget(state: MembershipState, random: utils.Random): core.HostId | undefined {
	if (state.faults.size > 0 && state.probes % FAULT_PROBE_INTERVAL === 0) {
		return [...state.faults][utils.pickIndex(random, state.faults.size)];
	}

	const isRemoteTurn = state.probes % REMOTE_PROBE_INTERVAL === 0;
	const {local, remote} = state.orders;
	return isRemoteTurn
		? takeFromOrder(state, remote, random) ?? takeFromOrder(state, local, random)
		: takeFromOrder(state, local, random) ?? takeFromOrder(state, remote, random);
}

function takeFromOrder(
	state: MembershipState,
	order: core.HostId[],
	random: utils.Random,
): core.HostId | undefined {
	if (order.length === 0) {
		order.push(...createOrder(state, order === state.orders.local, random));
	}

	for (let id = order.pop(); id !== undefined; id = order.pop()) {
		const member = state.table.members.get(id);
		if (member && isPresent(member)) {
			return id;
		}
	}

	return undefined;
}

function createOrder(state: MembershipState, isLocal: boolean, random: utils.Random): readonly core.HostId[] {
	const present = listPresent(state.table).filter(id => id !== state.self.id);
	if (present.length <= SMALL_FLEET) {
		return isLocal ? utils.shuffle(random, present) : [];
	}

	const {failureDomain} = state.self;
	return utils.shuffle(
		random,
		present.filter(id => (state.table.members.get(id)!.failureDomain === failureDomain) === isLocal),
	);
}
