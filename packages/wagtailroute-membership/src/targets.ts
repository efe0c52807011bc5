/**
Which host to probe next: in random order, each once in a pass, mostly within the failure domain, where a probe is cheap
and most hosts are probed by hosts that share their fate; some outside it, so that the loss of a whole failure domain is
noticed. Hosts with a path fault get a share of the probes, to notice the end of the fault.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {PROBES_PER_PATH_FAULT_PROBE, PROBES_PER_REMOTE_PROBE, MAX_SMALL_FLEET_HOSTS} from './constants.ts';
import {isPresent} from './members.ts';
import type {MembershipState} from './state.ts';
import {listPresentIds} from './table.ts';

/**
Picks the next host to probe, undefined when there is none.
*/
export function pickProbeTarget(state: MembershipState, random: utils.Random): core.HostId | undefined {
	if (state.pathFaults.size > 0 && state.probeCount % PROBES_PER_PATH_FAULT_PROBE === 0) {
		return [...state.pathFaults][utils.pickIndex(random, state.pathFaults.size)];
	}

	const isRemoteTurn = state.probeCount % PROBES_PER_REMOTE_PROBE === 0;
	const {local, remote} = state.probeOrders;
	return isRemoteTurn
		? popTarget(state, remote, random) ?? popTarget(state, local, random)
		: popTarget(state, local, random) ?? popTarget(state, remote, random);
}

function popTarget(
	state: MembershipState,
	order: core.HostId[],
	random: utils.Random,
): core.HostId | undefined {
	if (order.length === 0) {
		order.push(...createProbeOrder(state, order === state.probeOrders.local, random));
	}

	for (let id = order.pop(); id !== undefined; id = order.pop()) {
		const member = state.table.members.get(id);
		if (member && isPresent(member)) {
			return id;
		}
	}

	return undefined;
}

function createProbeOrder(state: MembershipState, isLocal: boolean, random: utils.Random): readonly core.HostId[] {
	const present = listPresentIds(state.table).filter(id => id !== state.self.id);
	if (present.length <= MAX_SMALL_FLEET_HOSTS) {
		return isLocal ? utils.shuffle(random, present) : [];
	}

	const {failureDomain} = state.self;
	return utils.shuffle(
		random,
		present.filter(id => (state.table.members.get(id)!.failureDomain === failureDomain) === isLocal),
	);
}
