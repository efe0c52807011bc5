/**
Choice of the next host to probe: in random order, each once in a pass. Most probes stay within the failure domain, where
they are cheap; some go outside it, so that the loss of a whole failure domain, whose hosts fail together, is detected.
Part of the probes goes to hosts with a path fault, to detect the end of the fault.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {MAX_SMALL_FLEET_HOSTS, PROBES_PER_PATH_FAULT_PROBE, PROBES_PER_REMOTE_PROBE} from './constants.ts';
import {isPresent} from './members.ts';
import type {MembershipState} from './state.ts';
import {listPresentIds} from './table.ts';

/**
Picks the next host to probe; undefined when there is none.
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
