/**
What a host asks of the records about upstreams that look sick: an ejection, its end, and a report of the upstreams it knows.
*/
import type * as announcements from 'wagtailroute-announcements';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as detection from 'wagtailroute-detection';
import type * as records from 'wagtailroute-records';
import type {Announcer} from './announcer.ts';
import {EJECTION_REQUEST_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import {proposeCommand} from './proposals.ts';

/**
Answer to a request for an ejection; `unreachable` when the records gave none in time.
*/
export type EjectionRequestAnswer = 'granted' | 'floor' | 'not-serving' | 'settling' | 'unreachable';

/**
The grantor as this host reaches it. An entry that is no longer in the catalogue asks for nothing.
*/
export type EjectionRequests = {
	readonly requestEjection: (
		service: core.ServiceName,
		upstream: core.UpstreamId,
		finding: detection.Finding,
	) => Promise<EjectionRequestAnswer>;
	readonly endEjection: (service: core.ServiceName, upstream: core.UpstreamId, epoch: number) => Promise<void>;
	readonly reportUpstreams: (service: core.ServiceName) => void;
};

/**
Creates the way to the grantor. Tests give `propose` to stand for the records.
*/
export function createEjectionRequests(
	context: HostContext,
	announcing: Pick<Announcer, 'getUpstreams'>,
	propose: typeof proposeCommand = proposeCommand,
): EjectionRequests {
	const createUpstreamView = (service: core.ServiceName) => {
		const entry = context.store.read(state => state.view.entries.get(service)?.entry);
		if (entry === undefined) {
			return undefined;
		}

		const upstreams = announcing.getUpstreams(service);
		const listIdsInState = (state: announcements.Upstream['state']) =>
			upstreams.filter(upstream => upstream.state === state).map(upstream => upstream.id);
		return {
			service,
			host: context.settings.hostId,
			serving: listIdsInState('serving'),
			draining: listIdsInState('draining'),
			healthyFloor: parseFloor(entry.healthyFloor),
		};
	};

	return {
		async requestEjection(service, upstream, finding) {
			const view = createUpstreamView(service);
			if (view === undefined) {
				return 'not-serving';
			}

			const payload = {...view, upstream, badness: finding.evidence};
			const result = await proposeRecordsCommand(context, propose, {name: 'request-ejection', payload});
			return result === undefined || result.kind === 'not-held' ? 'unreachable' : getAnswer(result);
		},
		async endEjection(service, upstream, epoch) {
			await proposeRecordsCommand(context, propose, {name: 'readmit', payload: {service, upstream, epoch}});
		},
		reportUpstreams(service) {
			const view = createUpstreamView(service);
			if (view !== undefined) {
				void proposeRecordsCommand(context, propose, {name: 'report-upstreams', payload: view});
			}
		},
	};
}

function getAnswer(result: records.EjectionResult): EjectionRequestAnswer {
	return result.kind === 'granted' ? 'granted' : result.reason;
}

async function proposeRecordsCommand<Name extends records.CommandName>(
	context: HostContext,
	propose: typeof proposeCommand,
	{name, payload}: {readonly name: Name; readonly payload: records.CommandPayloads[Name]},
): Promise<records.CommandResults[Name] | undefined> {
	const proposed = await propose(context, 'records', {name, stampedAt: 0, payload}, {
		timeoutMilliseconds: EJECTION_REQUEST_TIMEOUT_MILLISECONDS,
		isRepeatable: true,
	});
	return proposed.isOk() ? proposed.value as records.CommandResults[Name] : undefined;
}

function parseFloor(floor: catalogue.Entry['healthyFloor']): records.HealthyFloor {
	return typeof floor === 'number'
		? {kind: 'count', value: floor}
		: {kind: 'percent', value: Number(floor.slice(0, -1))};
}
