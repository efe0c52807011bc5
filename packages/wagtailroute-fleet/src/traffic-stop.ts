/**
Stops the traffic of an entry host: it serves until callers have looked up other hosts, finishes the requests in flight, and answers those that it can't finish before its process ends.

After the stop has begun no request may last beyond the time of the abort, and dispatchers and upstreams are told so. Once the listening sockets are closed, a request that comes late on an open
connection is served only if its own time limit ends before the abort, and is refused as not run otherwise: a refused request can be sent to another host, while one that is started and not finished
can't be sent again if it may run only once.
*/
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {FLUSH_CHECK_INTERVAL_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import {divideStopTime} from './stop-times.ts';

type StopContext = Pick<FleetContext, 'now' | 'schedule' | 'logs' | 'metrics'>;
type StoppableTraffic = Pick<proxy.TrafficServer, 'limitTime' | 'drain' | 'abort' | 'listInProgress' | 'getInFlight'>;

/**
Resolves with the number of requests that were cut off: 0, unless callers don't read their responses in time.

@param milliseconds Time from the stop signal until the process is killed.
*/
export async function stopTraffic(context: StopContext, traffic: StoppableTraffic, milliseconds: number): Promise<number> {
	const {acceptingMilliseconds, drainingMilliseconds, flushingMilliseconds} = divideStopTime(milliseconds);
	// Points in time, as a busy process runs its timers late.
	const drainsAt = context.now() + acceptingMilliseconds;
	const abortsAt = drainsAt + drainingMilliseconds;
	traffic.limitTime(abortsAt);
	await waitUntil(context, drainsAt);
	await drainUntil(context, traffic, abortsAt);
	logUnfinished(context, traffic.listInProgress());
	traffic.abort('unanswered');
	await waitForResponses(context, traffic, abortsAt + flushingMilliseconds);
	const cutOff = traffic.getInFlight();
	traffic.abort('all');
	return cutOff;
}

/**
Resolves when the drain has ended, or at a point in time. A drain that fails has not finished the requests in flight, so they keep their time.
*/
async function drainUntil(context: StopContext, traffic: StoppableTraffic, time: number): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	const cancel = context.schedule(Math.max(0, time - context.now()), resolve);
	utils.runDetached(async () => {
		await traffic.drain();
		resolve();
	}, createDefectHandler(context, 'drain'));
	await promise;
	cancel();
}

async function waitForResponses(context: StopContext, traffic: StoppableTraffic, time: number): Promise<void> {
	if (traffic.getInFlight() === 0) {
		return;
	}

	// Checked once at least, also where the process is late: the responses are written a moment after the abort.
	do {
		// eslint-disable-next-line no-await-in-loop -- One check after the other.
		await waitUntil(context, context.now() + FLUSH_CHECK_INTERVAL_MILLISECONDS);
	} while (traffic.getInFlight() > 0 && context.now() < time);
}

function logUnfinished(context: Pick<FleetContext, 'logs'>, requests: readonly proxy.RequestInProgress[]): void {
	const log = context.logs('request');
	for (const request of requests) {
		log.warn('A request was not finished when the time for stopping ended.', {
			request: request.requestId,
			service: request.service,
			class: request.requestClass,
			milliseconds: Math.round(request.milliseconds),
			waitsFor: request.waitsFor,
			attempts: request.attempts,
			upstream: request.upstream,
			...request.sentMilliseconds !== undefined && {sentMilliseconds: Math.round(request.sentMilliseconds)},
		});
	}
}

async function waitUntil({now, schedule}: Pick<FleetContext, 'now' | 'schedule'>, time: number): Promise<void> {
	await new Promise<void>(resolve => {
		schedule(Math.max(0, time - now()), resolve);
	});
}
