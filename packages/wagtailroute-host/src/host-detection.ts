/**
Failure detection on this host: combines evidence from its own requests with the summaries of the other carriers, and
derives the health of each upstream.

Each service that this host carries has its own detection. Ejections are requested from the records, which grant one only
while the service as a whole keeps its healthy floor. Granted ejections reach this host through the ejection leases.
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
Detection of all services on a host.
*/
export type HostDetection = UpstreamHealth & {
	readonly teardown: utils.Teardown;
};

/**
Exclusive upper bound of the random epoch that tells the processes of this host apart.
*/
const EPOCH_RANGE = 2 ** 31;

/**
Starts detection on this host.
*/
export function startHostDetection(context: HostContext, announcer: Announcer): HostDetection {
	const {settings, store} = context;
	const detections = new Map<core.ServiceName, ServiceDetection>();
	const listeners = new Set<(service: core.ServiceName) => void>();
	const epoch = utils.pickIndex(context.random, EPOCH_RANGE);
	const ejectionRequests = createEjectionRequests(context, announcer);

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

	const summaryExchange = startSummaryExchange(context, announcer, {
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
			announcer,
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
		getEjectionState: (service, upstream) => detections.get(service)?.getEjectionState(upstream) ?? 'in',
		isAvoided: (service, upstream) => detections.get(service)?.isAvoided(upstream) ?? false,
		getRampStart: (service, upstream) => detections.get(service)?.getRampStart(upstream),
		beginAttempt(service, target) {
			getDetection(service)?.beginAttempt(target);
		},
		recordAttempt(service, report) {
			detections.get(service)?.recordAttempt(report);
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
			announcer.registerChangeListener(service => {
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
Returns the periods of routine work of each service. They grow with the number of services, so that the total cost on this
host stays the same; urgent evidence is still sent and evaluated at once.
*/
function getPeriods(services: number): DetectionPeriods {
	return {
		summaryMilliseconds: Math.max(detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / DETECTION_SUMMARIES_PER_SECOND),
		stepMilliseconds: Math.max(detection.QUIET_TICK_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / DETECTION_STEPS_PER_SECOND),
	};
}
