/**
Stops the traffic of an entry host: it serves until callers have looked up other hosts, and finishes the requests in flight. Those that are left at the end are logged, as the end of the process
cuts them off.
*/
import type * as proxy from 'wagtailroute-proxy';
import type {FleetContext} from './context.ts';
import {divideStopTime} from './stop-times.ts';

/**
Resolves when the requests in flight are finished, or when their time is over.

@param milliseconds Time from the stop signal until the process is killed.
*/
export async function stopTraffic(
	context: Pick<FleetContext, 'schedule' | 'logs'>,
	traffic: Pick<proxy.TrafficServer, 'drain' | 'listInProgress'>,
	milliseconds: number,
): Promise<void> {
	const {acceptingMilliseconds, drainingMilliseconds} = divideStopTime(milliseconds);
	await wait(context, acceptingMilliseconds);
	await Promise.race([traffic.drain(), wait(context, drainingMilliseconds)]);
	logUnfinished(context, traffic.listInProgress());
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

async function wait({schedule}: Pick<FleetContext, 'schedule'>, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		schedule(milliseconds, resolve);
	});
}
