/**
Detection on this host: evidence from its own requests, pooled with that of the other carriers, and the verdicts that follow.

One watch runs for each service that this host carries. What it asks for goes to the records, which grant an ejection only
while the floor of the whole service holds; what they granted comes back through the ejection leases.
*/
import type * as core from 'wagtailroute-core';
import * as detection from 'wagtailroute-detection';
import * as utils from 'wagtailroute-utils';
import type {Announcer} from './announcer.ts';
import {
	DETECTION_TICK_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	STEPS_PER_SECOND,
	SUMMARIES_PER_SECOND,
} from './constants.ts';
import type {HostContext} from './context.ts';
import {startDetectionMail} from './detection-mail.ts';
import {startEjectionLeases} from './ejection-leases.ts';
import {createGrants} from './grants.ts';
import type {UpstreamHealth} from './services.ts';
import {startWatch, type Watch, type WatchPeriods} from './watches.ts';

/**
Detection on a host.
*/
export type Detecting = UpstreamHealth & {
	readonly teardown: utils.Teardown;
};

const EPOCH_RANGE = 2 ** 31;

/**
Starts the part.
*/
export function startDetecting(context: HostContext, announcing: Announcer): Detecting {
	const {settings, store} = context;
	const watches = new Map<core.ServiceName, Watch>();
	const listeners = new Set<(service: core.ServiceName) => void>();
	const epoch = utils.pickIndex(context.random, EPOCH_RANGE);
	const grants = createGrants(context, announcing);

	const tellChanged = (service: core.ServiceName) => {
		for (const listener of listeners) {
			listener(service);
		}
	};

	const leases = startEjectionLeases(context, {
		getServices: () => watches.keys(),
		onEjected(service, upstream) {
			watches.get(service)?.send({kind: 'ejected', upstream});
			tellChanged(service);
		},
		onReadmitted(service, upstream) {
			watches.get(service)?.send({kind: 'readmitted', upstream});
			tellChanged(service);
		},
	});

	const mail = startDetectionMail(context, announcing, {
		epoch,
		onSummary(service, summary) {
			getWatch(service)?.takeSummary(summary);
		},
	});

	const getWatch = (service: core.ServiceName): Watch | undefined => {
		const present = watches.get(service);
		const entry = store.read(state => state.view.entries.get(service)?.entry);
		if (present !== undefined || entry === undefined) {
			return present;
		}

		const created = startWatch(context, {
			entry,
			epoch,
			announcing,
			grants,
			leases,
			sendSummary(summary) {
				mail.add(service, summary);
			},
			onChange() {
				tellChanged(service);
			},
		});
		watches.set(service, created);
		leases.poll();
		return created;
	};

	const tick = () => {
		const periods = getPeriods(watches.size);
		const time = context.now();
		for (const watch of watches.values()) {
			watch.tick(time, periods);
		}

		mail.flush();
	};

	const dropUnneeded = () => {
		const state = store.read(snapshot => snapshot);
		for (const [service, watch] of watches) {
			const isCarried = state.carriers.get(service)?.includes(settings.hostId) ?? false;
			if (isCarried && state.view.entries.has(service)) {
				continue;
			}

			watch.stop();
			watches.delete(service);
		}
	};

	const configure = () => {
		for (const [service, watch] of watches) {
			const point = store.read(state => state.view.entries.get(service)?.entry.detection);
			if (point !== undefined) {
				watch.send({kind: 'configured', operatingPoint: point});
			}
		}
	};

	return {
		getEjectionState: (service, upstream) => watches.get(service)?.getAdmission(upstream) ?? 'in',
		isAvoided: (service, upstream) => watches.get(service)?.isAvoided(upstream) ?? false,
		getRampStart: (service, upstream) => watches.get(service)?.getRampStart(upstream),
		beginAttempt(service, target) {
			getWatch(service)?.begin(target);
		},
		recordAttempt(service, report) {
			watches.get(service)?.end(report);
		},
		registerChangeListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		teardown: utils.mergeTeardowns(
			leases.teardown,
			mail.teardown,
			announcing.registerChangeListener(service => {
				watches.get(service)?.refresh();
			}),
			store.registerUpdateListener((_state, _previous, dirty) => {
				if (dirty.has('view')) {
					configure();
				}

				if (dirty.has('view') || dirty.has('carriers')) {
					dropUnneeded();
				}
			}),
			context.repeat(DETECTION_TICK_MILLISECONDS, tick),
			() => {
				for (const watch of watches.values()) {
					watch.stop();
				}
			},
		),
	};
}

/**
A host that carries many services does the regular work of each less often, so that what it spends in all stays the same;
what stands out is told and weighed at once all the same.
*/
function getPeriods(services: number): WatchPeriods {
	return {
		summary: Math.max(detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / SUMMARIES_PER_SECOND),
		step: Math.max(detection.QUIET_TICK_INTERVAL_MILLISECONDS, services * MILLISECONDS_PER_SECOND / STEPS_PER_SECOND),
	};
}
