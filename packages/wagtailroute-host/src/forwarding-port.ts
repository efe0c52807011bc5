/**
Port of a service that this host does not carry: forwards requests to a carrier, which does not forward them again.

Callers that use an old answer of the directory, or none, are served too. The carrier does the admission and applies the
limits and the idempotency records.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {HostContext, Member} from './context.ts';
import {createRetryPort} from './retry-port.ts';

/**
Creates the port of a service that other hosts carry. Its targets are hosts in place of upstreams.
*/
export function createForwardingPort(context: HostContext, entry: catalogue.Entry): proxy.ServicePort {
	const retry = createRetryPort(entry.limits.retryRatio, context.now, () => 0);
	const chooseCarrier = ({excluded}: proxy.ChoiceRequest) => {
		const carriers = getRunningCarriers(context, entry.name).filter(member => !excluded.has(member.id));
		return carriers[utils.pickIndex(context.random, carriers.length)];
	};

	return {
		limits: entry.limits,
		isCarried: false,
		admit() {
			retry.creditRequest();
			return undefined;
		},
		release: () => undefined,
		choose(choice) {
			const member = chooseCarrier(choice);
			return member && {id: member.id, kind: 'host', address: member.trafficAddress};
		},
		hasOtherTarget: choice => chooseCarrier(choice) !== undefined,
		begin: () => undefined,
		end: () => undefined,
		retry,
	};
}

/**
Returns the other carriers that are alive, or the remaining ones when none is.
*/
function getRunningCarriers(context: HostContext, service: core.ServiceName): readonly Member[] {
	const members = context.store.read(state => (state.carriers.get(service) ?? [])
		.map(id => state.members.get(id))
		.filter(member => member !== undefined && member.id !== context.settings.hostId)) as readonly Member[];
	const alive = members.filter(member => member.state === 'alive');
	return alive.length > 0 ? alive : members;
}
