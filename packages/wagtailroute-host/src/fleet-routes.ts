/**
Routes of the admin port for the fleet and the upstreams, as this host knows them.
*/
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type * as utils from 'wagtailroute-utils';
import type {AdminRoute} from './admin-routes.ts';
import type {Announcer} from './announcer.ts';
import {UPSTREAM_LIST_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {HostContext, Member} from './context.ts';
import type {Control} from './control.ts';
import {answerUnknownEntry} from './problems.ts';
import type {UpstreamHealth} from './services.ts';

/**
Parts of the host that the routes read; `control` is absent on hosts without the control role.
*/
export type FleetRouteOptions = {
	readonly announcer: Announcer;
	readonly upstreamHealth: UpstreamHealth;
	readonly control?: Control;
};

/**
Creates the routes `/fleet` and `/services/<name>/upstreams`.
*/
export function createFleetRoutes(context: HostContext, options: FleetRouteOptions): readonly AdminRoute[] {
	return [
		{
			method: 'GET',
			pattern: /^\/fleet$/v,
			handle({response}) {
				proxy.answerJson(response, 200, describeFleet(context, options.control));
			},
		},
		{
			method: 'GET',
			pattern: /^\/services\/(?<name>[^\/]+)\/upstreams$/v,
			async handle({response, name}) {
				await answerUpstreams(context, options, response, name);
			},
		},
	];
}

function describeFleet(context: HostContext, control: Control | undefined) {
	const state = context.store.read(snapshot => snapshot);
	const hosts = state.members.values()
		.map(member => describeMember(member))
		.toArray()
		.toSorted((left, right) => left.id.localeCompare(right.id));
	return {
		host: context.settings.hostId,
		revision: state.view.revision,
		hosts,
		...control !== undefined && {groups: control.getStatus()},
	};
}

function describeMember(member: Member) {
	return {
		id: member.id,
		state: member.state === 'alive' && member.draining ? 'draining' : member.state,
		roles: member.roles.join(','),
		failureDomain: member.failureDomain,
		region: member.region,
		traffic: core.formatAddress(member.trafficAddress),
		admin: core.formatAddress(member.adminAddress),
	};
}

/**
Upstream in an answer of the admin port and of `upstreams.list`; all fields are sent.
*/
type UpstreamRow = {
	readonly id: core.UpstreamId;
	readonly address: string;
	readonly failureDomain: core.FailureDomain;
	readonly state: string;
	readonly admission: string;
	readonly slots: number;
};

function listUpstreams(options: FleetRouteOptions, name: core.ServiceName): readonly UpstreamRow[] {
	return options.announcer.getUpstreams(name).map(upstream => ({
		id: upstream.id,
		address: core.formatAddress(upstream),
		failureDomain: upstream.failureDomain,
		state: upstream.state,
		admission: options.upstreamHealth.getEjectionState(name, upstream.id),
		slots: upstream.slots,
	}));
}

async function answerUpstreams(
	context: HostContext,
	options: FleetRouteOptions,
	response: http.ServerResponse,
	name: core.ServiceName,
): Promise<void> {
	const state = context.store.read(snapshot => snapshot);
	if (!state.view.entries.has(name)) {
		answerUnknownEntry(response, name);
		return;
	}

	const carriers = state.carriers.get(name) ?? [];
	const upstreams = carriers.includes(context.settings.hostId)
		? listUpstreams(options, name)
		: await fetchUpstreams(context, name);
	proxy.answerJson(response, 200, {service: name, carriers, upstreams});
}

async function fetchUpstreams(context: HostContext, name: core.ServiceName): Promise<readonly UpstreamRow[]> {
	const carriers = context.store.read(state => (state.carriers.get(name) ?? []).map(id => state.members.get(id)));
	for (const carrier of carriers) {
		if (carrier === undefined) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- One carrier's answer is enough.
		const answer = await context.peer.call(carrier.peerAddress, 'upstreams.list', {service: name}, UPSTREAM_LIST_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			return answer.value as readonly UpstreamRow[];
		}
	}

	return [];
}

/**
Registers the method `upstreams.list`, by which a carrier lists its upstreams for other hosts.
*/
export function registerUpstreamList(
	context: HostContext,
	options: FleetRouteOptions,
): utils.Teardown {
	return context.peer.registerMethod('upstreams.list', ({service}: {service: core.ServiceName}) => listUpstreams(options, service));
}
