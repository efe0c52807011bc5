/**
State of each service that this host carries or forwards: admission, choice of an upstream, retry budget.

The state of a service is created by its first request and kept until its catalogue entry changes or is removed. A request
looks it up by name, so its cost does not depend on the number of services.
*/
import type * as announcements from 'wagtailroute-announcements';
import type * as catalogue from 'wagtailroute-catalogue';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import * as selection from 'wagtailroute-selection';
import * as utils from 'wagtailroute-utils';
import {createServiceAdmission} from './service-admission.ts';
import type {Announcer} from './announcer.ts';
import type {HostContext} from './context.ts';
import {createForwardingPort} from './forwarding-port.ts';
import {createRetryPort} from './retry-port.ts';
import type {ShareLeases} from './share-leases.ts';

/**
Services that this host carries or forwards.
*/
export type Services = {
	/**
	Finds the route of a request and the port of its service; returns a failure when there is none.
	*/
	readonly route: (request: proxy.CallerRequest) => proxy.RoutedRequest | proxy.RequestFailure;
	readonly teardown: utils.Teardown;
};

/**
Health of upstreams according to detection, and the reports of attempts that detection derives it from.
*/
export type UpstreamHealth = {
	readonly getEjectionState: (service: core.ServiceName, upstream: core.UpstreamId) => selection.EjectionState;
	readonly isAvoided: (service: core.ServiceName, upstream: core.UpstreamId) => boolean;
	/**
	Monotonic milliseconds at which an upstream's slow-start ramp began; undefined when it is warm.
	*/
	readonly getRampStart: (service: core.ServiceName, upstream: core.UpstreamId) => number | undefined;
	/**
	Records the begin of an attempt; its end is passed to `recordAttempt` with the same target.
	*/
	readonly beginAttempt: (service: core.ServiceName, target: proxy.Target) => void;
	readonly recordAttempt: (service: core.ServiceName, report: proxy.AttemptReport) => void;
	readonly registerChangeListener: (listener: (service: core.ServiceName) => void) => utils.Teardown;
};

/**
State of a service that this host carries; `refresh` applies changed upstreams, carriers or health.
*/
type CarriedService = {
	readonly port: proxy.ServicePort;
	readonly refresh: () => void;
	readonly stop: utils.Teardown;
	readonly entry: catalogue.Entry;
};

/**
Creates the lookup of services and keeps it up to date with catalogue, carriers, announcements and upstream health.
*/
export function startServices(
	context: HostContext,
	announcer: Announcer,
	{upstreamHealth, shareLeases}: {readonly upstreamHealth: UpstreamHealth; readonly shareLeases: ShareLeases},
): Services {
	const carried = new Map<core.ServiceName, CarriedService>();
	const forwarded = new Map<core.ServiceName, proxy.ServicePort>();

	const remove = (name: core.ServiceName) => {
		carried.get(name)?.stop();
		carried.delete(name);
		forwarded.delete(name);
	};

	const getCarried = (entry: catalogue.Entry) => {
		const existing = carried.get(entry.name);
		if (existing?.entry === entry) {
			return existing.port;
		}

		existing?.stop();
		const created = createCarried(context, entry, {announcer, upstreamHealth, shareLeases});
		carried.set(entry.name, created);
		return created.port;
	};

	const getForwarded = (entry: catalogue.Entry) => {
		const existing = forwarded.get(entry.name);
		const port = existing?.limits === entry.limits ? existing : createForwardingPort(context, entry);
		forwarded.set(entry.name, port);
		return port;
	};

	const getService = (name: core.ServiceName, isForwarded: boolean) => {
		const entry = context.store.read(state => state.view.entries.get(name)?.entry);
		if (entry === undefined) {
			return undefined;
		}

		const carriers = context.store.read(state => state.carriers.get(name) ?? []);
		return isForwarded || carriers.includes(context.settings.hostId) ? getCarried(entry) : getForwarded(entry);
	};

	return {
		route({host, method, path, isForwarded}) {
			const match = context.routes.match(host, method, path);
			if (match === undefined) {
				return proxy.createRequestFailure('route-unknown', `No service has a route for ${method} ${host}${path}.`);
			}

			const service = getService(match.service, isForwarded);
			return service === undefined
				? proxy.createRequestFailure('no-upstream', `No host that carries ${match.service} is known here.`)
				: {match, service};
		},
		teardown: utils.mergeTeardowns(
			announcer.registerChangeListener(name => {
				carried.get(name)?.refresh();
			}),
			upstreamHealth.registerChangeListener(name => {
				carried.get(name)?.refresh();
			}),
			context.store.registerUpdateListener((state, previous, dirty) => {
				if (dirty.has('view')) {
					for (const name of previous.view.entries.keys().filter(known => !state.view.entries.has(known))) {
						remove(name);
					}
				}

				if (dirty.has('carriers')) {
					for (const service of carried.values()) {
						service.refresh();
					}
				}
			}),
			() => {
				for (const name of carried.keys()) {
					remove(name);
				}
			},
		),
	};
}

function createCarried(
	context: HostContext,
	entry: catalogue.Entry,
	{announcer, upstreamHealth, shareLeases}: {
		readonly announcer: Announcer;
		readonly upstreamHealth: UpstreamHealth;
		readonly shareLeases: ShareLeases;
	},
): CarriedService {
	const {settings, now, random} = context;
	const selector = selection.createSelector({localFailureDomain: settings.failureDomain});
	const admitter = createServiceAdmission(context, entry, shareLeases);
	let upstreams: ReadonlyMap<core.UpstreamId, announcements.Upstream> = new Map();
	const retry = createRetryPort(entry.limits.retryRatio, now, admitter.getUsualMilliseconds);

	const updateUpstreams = () => {
		const announced = announcer.getUpstreams(entry.name);
		const carriers = context.store.read(state => state.carriers.get(entry.name) ?? []).toSorted();
		const rank = carriers.indexOf(settings.hostId);
		upstreams = new Map(announced.map(upstream => [upstream.id, upstream]));
		selector.setUpstreams(
			announced.map(upstream => describeUpstream(upstream, upstreamHealth)),
			rank === -1 ? undefined : {count: carriers.length, rank},
		);
		admitter.setCapacity(announced.reduce((sum, upstream) => sum + upstream.slots, 0), Math.max(1, carriers.length));
	};

	const chooseUpstream = ({excluded, requestClass}: proxy.ChoiceRequest) => selector.choose({
		now: now(), random, excluded, isTrialAllowed: core.isIdempotent(requestClass),
	});

	updateUpstreams();
	return {
		entry,
		refresh: updateUpstreams,
		stop: admitter.stop,
		port: {
			limits: entry.limits,
			isCarried: true,
			admit(request) {
				retry.creditRequest();
				return admitter.admit(request);
			},
			release: admitter.release,
			choose(choice) {
				const id = chooseUpstream(choice);
				const upstream = id === undefined ? undefined : upstreams.get(id);
				return upstream && {id: upstream.id, kind: 'upstream', address: {ip: upstream.ip, port: upstream.port}};
			},
			hasOtherTarget: choice => chooseUpstream(choice) !== undefined,
			begin(target) {
				selector.begin(target.id, now());
				upstreamHealth.beginAttempt(entry.name, target);
			},
			end(report) {
				selector.end(report.target.id, {
					now: now(),
					latencyMilliseconds: report.latencyMilliseconds,
					result: SELECTION_RESULTS[report.ending],
				});
				// A crash is the fault of the request, so it must not count towards the ejection of the server.
				upstreamHealth.recordAttempt(entry.name, report.hasCrashed ? {...report, ending: 'cancelled'} : report);
			},
			retry,
		},
	};
}

function describeUpstream(upstream: announcements.Upstream, upstreamHealth: UpstreamHealth): selection.Upstream {
	return {
		id: upstream.id,
		failureDomain: upstream.failureDomain,
		slots: upstream.slots,
		state: upstream.state,
		ejectionState: upstreamHealth.getEjectionState(upstream.service, upstream.id),
		isAvoided: upstreamHealth.isAvoided(upstream.service, upstream.id),
		rampStartedAt: upstreamHealth.getRampStart(upstream.service, upstream.id),
	};
}

const SELECTION_RESULTS: Readonly<Record<proxy.AttemptEnding, selection.RequestResult>> = {
	success: 'success',
	'server-error': 'failure',
	shed: 'shed',
	misdirected: 'shed',
	'connect-error': 'failure',
	reset: 'failure',
	truncated: 'failure',
	timeout: 'failure',
	overdue: 'failure',
	impatience: 'cancelled',
	cancelled: 'cancelled',
};
