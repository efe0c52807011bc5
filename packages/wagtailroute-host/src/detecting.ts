/**
Detection on this host: evidence from its own requests, pooled with that of the other carriers, and the verdicts that follow.

One detection machine runs for each service that this host carries. What it asks for goes to the records, which grant an
ejection only while the floor of the whole service holds; what they granted comes back through the ejection leases.
*/
import type * as announcements from 'wagtailroute-announcements';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import type * as proxy from 'wagtailroute-proxy';
import type * as records from 'wagtailroute-records';
import type * as selection from 'wagtailroute-selection';
import * as utils from 'wagtailroute-utils';
import type {Announcing} from './announcing.ts';
import {
	GRANT_MILLISECONDS,
	KNOWN_MILLISECONDS,
	SUMMARIES_PER_SECOND,
	VIEW_REPORT_MILLISECONDS,
} from './constants.ts';
import {findPeerAddress, type HostContext} from './context.ts';
import {startEjectionLeases} from './ejection-leases.ts';
import {type Machine, runMachine} from './events.ts';
import {proposeCommand} from './proposals.ts';
import type {Verdicts} from './services.ts';

/**
Detection on a host.
*/
export type Detecting = Verdicts & {
	readonly teardown: utils.Teardown;
};

type SummaryEnvelope = {
	readonly service: core.ServiceName;
	readonly summary: detection.Summary;
};

/**
Detection of one service.
*/
type Watch = {
	readonly machine: Machine<detection.Detection, detection.Event>;
	readonly evidence: detection.Evidence;
	readonly createdAt: number;
	readonly rampStarts: Map<core.UpstreamId, number>;
	readonly avoidedUntil: Map<core.UpstreamId, number>;
	summarizedAt: number;
	viewReportedAt: number;
};

const SUMMARY_METHOD = 'detection.summary';
const EPOCH_RANGE = 2 ** 31;

const RESULTS: Readonly<Record<proxy.AttemptEnding, detection.Result>> = {
	success: 'success',
	'server-error': 'status',
	shed: 'shed',
	'connect-error': 'connect',
	reset: 'reset',
	truncated: 'truncated',
	timeout: 'timeout',
	impatience: 'cancelled',
	cancelled: 'cancelled',
};

const ADMISSIONS: Readonly<Record<detection.Phase['kind'], selection.Admission>> = {
	serving: 'in',
	requested: 'in',
	ejected: 'ejected',
	trial: 'trial',
	readmitting: 'trial',
};

/**
Starts the part. Its method: `detection.summary` between carriers.
*/
export function startDetecting(context: HostContext, announcing: Announcing): Detecting {
	const {settings, now, random, peer, store} = context;
	const log = context.log('detection');
	const watches = new Map<core.ServiceName, Watch>();
	const tickets = new WeakMap<proxy.Target, detection.Ticket>();
	const listeners = new Set<(service: core.ServiceName) => void>();
	const epoch = utils.pickIndex(random, EPOCH_RANGE);

	const tellChanged = (service: core.ServiceName) => {
		for (const listener of listeners) {
			listener(service);
		}
	};

	const leases = startEjectionLeases(context, {
		getServices: () => watches.keys(),
		onEjected(service, upstream) {
			watches.get(service)?.machine.send({kind: 'ejected', upstream});
			tellChanged(service);
		},
		onReadmitted(service, upstream) {
			watches.get(service)?.machine.send({kind: 'readmitted', upstream});
			tellChanged(service);
		},
	});

	const findEntry = (service: core.ServiceName): catalogue.Entry | undefined =>
		store.read(state => state.view.entries.get(service)?.entry);

	const createView = (service: core.ServiceName, entry: catalogue.Entry) => {
		const upstreams = announcing.getUpstreams(service);
		const listIn = (state: announcements.Upstream['state']) =>
			upstreams.filter(upstream => upstream.state === state).map(upstream => upstream.id);
		return {
			service,
			host: settings.hostId,
			serving: listIn('serving'),
			draining: listIn('draining'),
			healthyFloor: parseFloor(entry.healthyFloor),
		};
	};

	const requestEjection = async (service: core.ServiceName, upstream: core.UpstreamId, finding: detection.Finding) => {
		const entry = findEntry(service);
		if (entry === undefined) {
			return;
		}

		log.info('Upstream looks sick.', {
			service, upstream, symptom: finding.symptom, rate: finding.rate, normal: finding.normalRate, hosts: finding.hosts,
		});
		const payload = {...createView(service, entry), upstream, badness: finding.evidence};
		const proposed = await proposeCommand(context, 'records', {name: 'request-ejection', stampedAt: 0, payload}, {
			timeoutMilliseconds: GRANT_MILLISECONDS,
			isRepeatable: true,
		});
		const result = proposed.isOk() ? proposed.value as records.Results['request-ejection'] : undefined;
		if (result?.kind === 'granted') {
			leases.poll();
			return;
		}

		const reason = result === undefined ? 'unreachable' : 'floor';
		log.warn('Ejection refused.', {service, upstream, reason: result?.kind === 'refused' ? result.reason : reason});
		watches.get(service)?.machine.send({kind: 'refused', upstream, reason});
	};

	const requestReadmission = async (service: core.ServiceName, upstream: core.UpstreamId) => {
		const heldEpoch = leases.getEpoch(service, upstream);
		if (heldEpoch === undefined) {
			watches.get(service)?.machine.send({kind: 'readmitted', upstream});
			return;
		}

		const payload = {service, upstream, epoch: heldEpoch};
		await proposeCommand(context, 'records', {name: 'readmit', stampedAt: 0, payload}, {
			timeoutMilliseconds: GRANT_MILLISECONDS,
			isRepeatable: true,
		});
		leases.poll();
	};

	const createWatch = (service: core.ServiceName, entry: catalogue.Entry): Watch => {
		const avoidedUntil = new Map<core.UpstreamId, number>();
		const machine = runMachine<detection.Detection, detection.Event, detection.Effect>({
			initial: detection.createDetection({host: settings.hostId, operatingPoint: entry.detection}),
			step: detection.stepDetection,
			circumstances: () => ({now: now(), random}),
			onDefect: context.fail,
			handlers: {
				'request-ejection'({upstream, finding}) {
					void requestEjection(service, upstream, finding);
				},
				'request-readmission'({upstream}) {
					void requestReadmission(service, upstream);
				},
				'start-trial'() {
					tellChanged(service);
				},
				'end-trial'() {
					tellChanged(service);
				},
				'steer-away'({upstream, until, cause}) {
					log.info('Upstream avoided by this host.', {service, upstream, cause});
					avoidedUntil.set(upstream, until);
					tellChanged(service);
					context.schedule(until - now(), () => {
						tellChanged(service);
					});
				},
				'report-shared'({suspects}) {
					log.warn('Many upstreams look sick together, none is ejected.', {service, suspects: suspects.length});
				},
				'report-self'({unreachable}) {
					log.error('This host reaches few upstreams that others reach.', {service, unreachable: unreachable.length});
				},
			},
		});
		return {
			machine,
			avoidedUntil,
			evidence: detection.createEvidence({host: settings.hostId, failureDomain: settings.failureDomain, epoch}),
			createdAt: now(),
			rampStarts: new Map(),
			summarizedAt: 0,
			viewReportedAt: 0,
		};
	};

	const getWatch = (service: core.ServiceName): Watch | undefined => {
		const present = watches.get(service);
		const entry = findEntry(service);
		if (present !== undefined || entry === undefined) {
			return present;
		}

		const created = createWatch(service, entry);
		watches.set(service, created);
		takeUpstreams(service, created);
		leases.poll();
		return created;
	};

	const takeUpstreams = (service: core.ServiceName, watch: Watch) => {
		const upstreams = announcing.getUpstreams(service);
		noteRamps(watch, upstreams, now());
		watch.machine.send({
			kind: 'upstreams-changed',
			upstreams: upstreams.map(({id, state}) => ({id, state, rampStartedAt: watch.rampStarts.get(id)})),
		});
	};

	const sendSummary = (service: core.ServiceName, watch: Watch) => {
		const summary = watch.evidence.takeSummary(now());
		watch.summarizedAt = now();
		if (summary === undefined) {
			return;
		}

		watch.machine.send({kind: 'summary', summary});
		for (const carrier of store.read(state => state.carriers.get(service) ?? [])) {
			const address = carrier === settings.hostId ? undefined : findPeerAddress(context, carrier);
			if (address !== undefined) {
				peer.notify(address, SUMMARY_METHOD, {service, summary} satisfies SummaryEnvelope);
			}
		}
	};

	const reportView = (service: core.ServiceName, watch: Watch) => {
		const entry = findEntry(service);
		if (entry === undefined || !leases.hasEjections(service) || now() - watch.viewReportedAt < VIEW_REPORT_MILLISECONDS) {
			return;
		}

		watch.viewReportedAt = now();
		void proposeCommand(context, 'records', {name: 'report-upstreams', stampedAt: 0, payload: createView(service, entry)}, {
			timeoutMilliseconds: GRANT_MILLISECONDS,
			isRepeatable: true,
		});
	};

	const tick = () => {
		const period = getSummaryPeriod(watches.size);
		for (const [service, watch] of watches) {
			if (now() - watch.summarizedAt >= period || watch.evidence.isUrgent(now())) {
				sendSummary(service, watch);
			}

			watch.machine.send({kind: 'tick'});
			reportView(service, watch);
		}
	};

	const dropUnneeded = () => {
		const state = store.read(snapshot => snapshot);
		for (const [service, watch] of watches) {
			const isCarried = state.carriers.get(service)?.includes(settings.hostId) ?? false;
			if (isCarried && state.view.entries.has(service)) {
				continue;
			}

			watch.machine.stop();
			watches.delete(service);
		}
	};

	return {
		getAdmission(service, upstream) {
			const phase = watches.get(service)?.machine.read().upstreams.get(upstream)?.phase;
			return phase === undefined ? 'in' : ADMISSIONS[phase.kind];
		},
		isAvoided: (service, upstream) => (watches.get(service)?.avoidedUntil.get(upstream) ?? 0) > now(),
		getRampStart: (service, upstream) => watches.get(service)?.rampStarts.get(upstream),
		begin(service, target) {
			const ticket = getWatch(service)?.evidence.begin(target.id, now());
			if (ticket !== undefined) {
				tickets.set(target, ticket);
			}
		},
		record(service, report) {
			const ticket = tickets.get(report.target);
			if (ticket !== undefined) {
				watches.get(service)?.evidence.end(ticket, RESULTS[report.ending], now());
			}
		},
		registerChangeListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		teardown: utils.mergeTeardowns(
			leases.teardown,
			peer.registerMethod(SUMMARY_METHOD, ({service, summary}: SummaryEnvelope) => {
				getWatch(service)?.machine.send({kind: 'summary', summary});
			}),
			announcing.registerChangeListener(service => {
				const watch = watches.get(service);
				if (watch !== undefined) {
					takeUpstreams(service, watch);
				}
			}),
			store.registerUpdateListener((state, previous, dirty) => {
				if (dirty.has('view')) {
					for (const [service, watch] of watches) {
						const point = state.view.entries.get(service)?.entry.detection;
						if (point !== undefined && point !== previous.view.entries.get(service)?.entry.detection) {
							watch.machine.send({kind: 'configured', operatingPoint: point});
						}
					}
				}

				if (dirty.has('view') || dirty.has('carriers')) {
					dropUnneeded();
				}
			}),
			context.repeat(detection.TICK_MILLISECONDS / 2, tick),
		),
	};
}

/**
An upstream that appears while its service is already known here has just started, and starts cold. Those that are there
when this host begins to know the service are taken for warm.
*/
function noteRamps(watch: Watch, upstreams: readonly announcements.Upstream[], now: number): void {
	const known = watch.machine.read().upstreams;
	const present = new Set(upstreams.map(upstream => upstream.id));
	const isSettled = now - watch.createdAt > KNOWN_MILLISECONDS;
	for (const id of present) {
		if (isSettled && !known.has(id)) {
			watch.rampStarts.set(id, now);
		}
	}

	for (const id of watch.rampStarts.keys()) {
		if (!present.has(id)) {
			watch.rampStarts.delete(id);
		}
	}
}

function parseFloor(floor: catalogue.Entry['healthyFloor']): records.HealthyFloor {
	return typeof floor === 'number'
		? {kind: 'count', value: floor}
		: {kind: 'percent', value: Number(floor.slice(0, -1))};
}

/**
Returns the milliseconds between two summaries of a service without urgent evidence. A host that carries many services
sends each less often, so that what it spends on summaries stays the same; failures are told at once all the same.
*/
function getSummaryPeriod(services: number): number {
	return Math.max(detection.SUMMARY_MILLISECONDS, services * 1000 / SUMMARIES_PER_SECOND);
}
