/**
A host's commands to the records about unhealthy upstreams: requests an ejection, ends one, and reports the upstreams that
this host sees.
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
Answer to a request for an ejection; `unreachable` when the records gave no answer in time.
*/
export type EjectionRequestAnswer = 'granted' | 'floor' | 'not-serving' | 'settling' | 'unreachable';

/**
Commands about upstreams of one host. They do nothing for a service that is no longer in the catalogue.
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
Creates the commands. Tests replace `propose` by records in memory.
*/
export function createEjectionRequests(
	context: HostContext,
	announcer: Pick<Announcer, 'getUpstreams'>,
	propose: typeof proposeCommand = proposeCommand,
): EjectionRequests {
	const createUpstreamView = (service: core.ServiceName) => {
		const entry = context.store.read(state => state.view.entries.get(service)?.entry);
		if (entry === undefined) {
			return undefined;
		}

		const upstreams = announcer.getUpstreams(service);
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
