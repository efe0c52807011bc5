/**
Detection of one service on this host: runs its state machine, collects evidence from this host's own requests, and keeps
what the choice of an upstream needs.
*/
import type * as announcements from 'wagtailroute-announcements';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import type * as proxy from 'wagtailroute-proxy';
import type * as selection from 'wagtailroute-selection';
import type {Announcer} from './announcer.ts';
import {ASSUMED_WARM_MILLISECONDS, UPSTREAMS_REPORT_INTERVAL_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import type {EjectionLeases} from './ejection-leases.ts';
import {runMachine} from './events.ts';
import type {EjectionRequests} from './ejection-requests.ts';

/**
Detection of one service.
*/
export type ServiceDetection = {
	readonly send: (event: detection.Event) => void;
	/**
	Applies the summary of another carrier.
	*/
	readonly applySummary: (summary: detection.Summary) => void;
	/**
	Reads the upstreams of the service again.
	*/
	readonly refresh: () => void;
	/**
	Does the work that is due: sends a summary and steps the machine at the end of their periods, or earlier on urgent evidence;
	reports the upstreams while any is ejected.
	*/
	readonly tick: (time: number, periods: DetectionPeriods) => void;
	readonly beginAttempt: (target: proxy.Target) => void;
	readonly recordAttempt: (report: proxy.AttemptReport) => void;
	readonly getEjectionState: (upstream: core.UpstreamId) => selection.EjectionState;
	readonly isAvoided: (upstream: core.UpstreamId) => boolean;
	readonly getRampStart: (upstream: core.UpstreamId) => number | undefined;
	readonly stop: () => void;
};

/**
Milliseconds between summaries and between steps of a service without urgent evidence.
*/
export type DetectionPeriods = {
	readonly summaryMilliseconds: number;
	readonly stepMilliseconds: number;
};

/**
Options of the detection of one service.
*/
export type ServiceDetectionOptions = {
	readonly entry: catalogue.Entry;
	/**
	Differs between the processes of this host, so that a restart is recognised.
	*/
	readonly epoch: number;
	readonly announcer: Announcer;
	readonly ejectionRequests: EjectionRequests;
	readonly leases: EjectionLeases;
	readonly sendSummary: (summary: detection.Summary) => void;
	/**
	Called when the state of an upstream changes in a way that affects the choice of upstreams.
	*/
	readonly onChange: () => void;
};

const RESULTS_BY_ENDING: Readonly<Record<proxy.AttemptEnding, detection.RequestResult>> = {
	success: 'success',
	'server-error': 'status',
	shed: 'shed',
	misdirected: 'connect',
	'connect-error': 'connect',
	reset: 'reset',
	truncated: 'truncated',
	timeout: 'timeout',
	overdue: 'timeout',
	impatience: 'cancelled',
	cancelled: 'cancelled',
};

const EJECTION_STATES: Readonly<Record<detection.Phase['kind'], selection.EjectionState>> = {
	serving: 'in',
	requested: 'in',
	ejected: 'ejected',
	trial: 'trial',
	readmitting: 'trial',
};

/**
Starts detection of a service.
*/
export function startServiceDetection(context: HostContext, options: ServiceDetectionOptions): ServiceDetection {
	const {settings, now, random} = context;
	const {announcer, ejectionRequests, leases, onChange} = options;
	const service = options.entry.name;
	const log = context.log('detection');
	const requestsInFlight = new WeakMap<proxy.Target, detection.InFlightRequest>();
	const rampStarts = new Map<core.UpstreamId, number>();
	const avoidedUntil = new Map<core.UpstreamId, number>();
	const evidenceCollector = detection.createEvidenceCollector({host: settings.hostId, failureDomain: settings.failureDomain, epoch: options.epoch});
	const createdAt = now();
	let reportedAt = 0;
	let steppedAt = 0;
	let hasFailures = false;
	let isActive = false;

	const requestEjection = async (upstream: core.UpstreamId, finding: detection.Finding) => {
		log.info('Upstream found unhealthy; its ejection is requested.', {
			service, upstream, symptom: finding.symptom, rate: finding.rate, normal: finding.normalRate, hosts: finding.hosts,
		});
		const answer = await ejectionRequests.requestEjection(service, upstream, finding);
		if (answer === 'granted') {
			leases.poll();
			return;
		}

		log.warn('Ejection of an upstream was not granted.', {service, upstream, reason: answer});
		machine.send({kind: 'refused', upstream, reason: answer === 'unreachable' ? 'unreachable' : 'floor'});
	};

	const requestReadmission = async (upstream: core.UpstreamId) => {
		const epoch = leases.getEpoch(service, upstream);
		if (epoch === undefined) {
			machine.send({kind: 'readmitted', upstream});
			onChange();
			return;
		}

		await ejectionRequests.endEjection(service, upstream, epoch);
		leases.poll();
	};

	const machine = runMachine<detection.DetectionState, detection.Event, detection.Effect>({
		initial: detection.createDetectionState({host: settings.hostId, operatingPoint: options.entry.detection}),
		step: detection.stepDetection,
		circumstances: () => ({now: now(), random}),
		onDefect: context.fail,
		handlers: {
			'request-ejection'({upstream, finding}) {
				void requestEjection(upstream, finding);
			},
			'request-readmission'({upstream}) {
				void requestReadmission(upstream);
			},
			'start-trial': onChange,
			'end-trial': onChange,
			'steer-away'({upstream, until, cause}) {
				log.info('This host avoids an upstream.', {service, upstream, cause});
				avoidedUntil.set(upstream, until);
				onChange();
				context.schedule(until - now(), onChange);
			},
			'report-shared'({suspects}) {
				log.warn('Many upstreams look unhealthy at once; none is ejected.', {service, suspects: suspects.length});
			},
			'report-self'({unreachable}) {
				log.error('This host reaches only few of the upstreams that other hosts reach.', {service, unreachable: unreachable.length});
			},
		},
	});

	/**
	Records when upstreams began to warm up. An upstream that appears while its service is already known here has just started,
	and is cold. Those present when this host first sees the service are assumed to be warm.
	*/
	const updateRampStarts = (upstreams: readonly announcements.Upstream[]) => {
		const known = machine.read().upstreams;
		const present = new Set(upstreams.map(upstream => upstream.id));
		const isServiceKnown = now() - createdAt > ASSUMED_WARM_MILLISECONDS;
		for (const id of present) {
			if (isServiceKnown && !known.has(id)) {
				rampStarts.set(id, now());
			}
		}

		for (const id of rampStarts.keys()) {
			if (!present.has(id)) {
				rampStarts.delete(id);
			}
		}
	};

	const getPhase = (upstream: core.UpstreamId) => machine.read().upstreams.get(upstream)?.phase.kind;

	const refresh = () => {
		const upstreams = announcer.getUpstreams(service);
		updateRampStarts(upstreams);
		machine.send({
			kind: 'upstreams-changed',
			upstreams: upstreams.map(({id, state}) => ({id, state, rampStartedAt: rampStarts.get(id)})),
		});
		// An ejected upstream that announces itself again is new to the machine, and would count as serving.
		for (const {id} of upstreams) {
			if (leases.getEpoch(service, id) !== undefined && getPhase(id) === 'serving') {
				machine.send({kind: 'ejected', upstream: id});
			}
		}
	};

	const applyToMachine = (summary: detection.Summary) => {
		hasFailures ||= summary.upstreams.some(seen => Object.keys(seen.failures).length > 0);
		machine.send({kind: 'summary', summary});
	};

	const stepWhenDue = (time: number, quietMilliseconds: number) => {
		if (time - steppedAt < (hasFailures || isActive ? detection.TICK_INTERVAL_MILLISECONDS : quietMilliseconds)) {
			return;
		}

		steppedAt = time;
		hasFailures = false;
		machine.send({kind: 'tick'});
		isActive = detection.getTickIntervalMilliseconds(machine.read()) === detection.TICK_INTERVAL_MILLISECONDS;
	};

	refresh();
	return {
		send: machine.send,
		refresh,
		applySummary(summary) {
			evidenceCollector.applySummary(summary, now());
			applyToMachine(summary);
		},
		tick(time, periods) {
			const summary = evidenceCollector.collectDueSummary(time, periods.summaryMilliseconds);
			if (summary !== undefined) {
				applyToMachine(summary);
				options.sendSummary(summary);
			}

			stepWhenDue(time, periods.stepMilliseconds);
			if (!(leases.hasEjections(service) && time - reportedAt >= UPSTREAMS_REPORT_INTERVAL_MILLISECONDS)) {
				return;
			}

			reportedAt = time;
			ejectionRequests.reportUpstreams(service);
		},
		beginAttempt(target) {
			requestsInFlight.set(target, evidenceCollector.begin(target.id, now()));
		},
		recordAttempt(report) {
			const ticket = requestsInFlight.get(report.target);
			if (ticket !== undefined) {
				evidenceCollector.end(ticket, RESULTS_BY_ENDING[report.ending], now());
			}
		},
		getEjectionState(upstream) {
			const phase = getPhase(upstream);
			return phase === undefined ? 'in' : EJECTION_STATES[phase];
		},
		isAvoided: upstream => (avoidedUntil.get(upstream) ?? 0) > now(),
		getRampStart: upstream => rampStarts.get(upstream),
		stop: machine.stop,
	};
}
