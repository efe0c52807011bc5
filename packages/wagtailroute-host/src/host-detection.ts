/**
Detection on this host: evidence from its own requests, pooled with that of the other carriers, and the verdicts that follow.

One serviceDetection runs for each service that this host carries. What it asks for goes to the records, which grant an ejection only
while the floor of the whole service holds; what they granted comes back through the ejection leases.
*/
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import * as utils from 'wagtailroute-utils';
import type {Announcer} from './announcer.ts';
import {
	DETECTION_TICK_INTERVAL_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	DETECTION_STEPS_PER_SECOND,
	DETECTION_SUMMARIES_PER_SECOND,
} from './constants.ts';
import type {HostContext} from './context.ts';
import {startSummaryExchange} from './summary-exchange.ts';
import {startEjectionLeases} from './ejection-leases.ts';
import {createEjectionRequests} from './ejection-requests.ts';
import type {UpstreamHealth} from './services.ts';
import {startServiceDetection, type ServiceDetection, type DetectionPeriods} from './service-detection.ts';

/**
Detection on a host.
*/
export type HostDetection = UpstreamHealth & {
	readonly teardown: utils.Teardown;
};

const EPOCH_RANGE = 2 ** 31;

/**
Starts the part.
*/
export function startHostDetection(context: HostContext, announcing: Announcer): HostDetection {
	const {settings, store} = context;
	const detections = new Map<core.ServiceName, ServiceDetection>();
	const listeners = new Set<(service: core.ServiceName) => void>();
	const epoch = utils.pickIndex(context.random, EPOCH_RANGE);
	const ejectionRequests = createEjectionRequests(context, announcing);

	const notifyChanged = (service: core.ServiceName) => {
		for (const listener of listeners) {
			listener(service);
		}
	};

	const leases = startEjectionLeases(context, {
		getServices: () => detections.keys(),
		onEjected(service, upstream) {
			detections.get(service)?.send({kind: 'ejected', upstream});
			notifyChanged(service);
		},
		onReadmitted(service, upstream) {
			detections.get(service)?.send({kind: 'readmitted', upstream});
			notifyChanged(service);
		},
	});

	const summaryExchange = startSummaryExchange(context, announcing, {
		epoch,
		onSummary(service, summary) {
			getDetection(service)?.applySummary(summary);
		},
	});

	const getDetection = (service: core.ServiceName): ServiceDetection | undefined => {
		const present = detections.get(service);
		const entry = store.read(state => state.view.entries.get(service)?.entry);
		if (present !== undefined || entry === undefined) {
			return present;
		}

		const created = startServiceDetection(context, {
			entry,
			epoch,
			announcing,
			ejectionRequests,
			leases,
			sendSummary(summary) {
				summaryExchange.queue(service, summary);
			},
			onChange() {
				notifyChanged(service);
			},
		});
		detections.set(service, created);
		leases.poll();
		return created;
	};

	const tick = () => {
		const periods = getPeriods(detections.size);
		const time = context.now();
		for (const serviceDetection of detections.values()) {
			serviceDetection.tick(time, periods);
		}

		summaryExchange.flush();
	};

	const stopUnneeded = () => {
		const state = store.read(snapshot => snapshot);
		for (const [service, serviceDetection] of detections) {
			const isCarried = state.carriers.get(service)?.includes(settings.hostId) ?? false;
			if (isCarried && state.view.entries.has(service)) {
				continue;
			}

			serviceDetection.stop();
			detections.delete(service);
		}
	};

	const configure = () => {
		for (const [service, serviceDetection] of detections) {
			const operatingPoint = store.read(state => state.view.entries.get(service)?.entry.detection);
			if (operatingPoint !== undefined) {
				serviceDetection.send({kind: 'configured', operatingPoint});
			}
		}
	};

	return {
		getEjectionState: (service, upstream) => detections.get(service)?.getAdmission(upstream) ?? 'in',
		isAvoided: (service, upstream) => detections.get(service)?.isAvoided(upstream) ?? false,
		getRampStart: (service, upstream) => detections.get(service)?.getRampStart(upstream),
		beginAttempt(service, target) {
			getDetection(service)?.recordStart(target);
		},
		recordAttempt(service, report) {
			detections.get(service)?.recordEnd(report);
		},
		registerChangeListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		teardown: utils.mergeTeardowns(
			leases.teardown,
			summaryExchange.teardown,
			announcing.registerChangeListener(service => {
				detections.get(service)?.refresh();
			}),
			store.registerUpdateListener((_state, _previous, dirty) => {
				if (dirty.has('view')) {
					configure();
				}

				if (dirty.has('view') || dirty.has('carriers')) {
					stopUnneeded();
				}
			}),
			context.repeat(DETECTION_TICK_INTERVAL_MILLISECONDS, tick),
			() => {
				for (const serviceDetection of detections.values()) {
					serviceDetection.stop();
				}
			},
		),
	};
}

/**
A host that carries many services does the regular work of each less often, so that what it spends in all stays the same;
what stands out is told and weighed at once all the same.
*/
function getPeriods(services: number): DetectionPeriods {
	return {
		summaryMilliseconds: Math.max(detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / DETECTION_SUMMARIES_PER_SECOND),
		stepMilliseconds: Math.max(detection.QUIET_TICK_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / DETECTION_STEPS_PER_SECOND),
	};
}
