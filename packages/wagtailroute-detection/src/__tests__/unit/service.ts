/**
A small service for tests: every 100 ms, each host reports given counts for each upstream to one detection state.
*/
import * as utils from 'wagtailroute-utils';
import * as detection from '../../index.ts';

/**
What a host reports about an upstream in each tick.
*/
export type Report = {
	readonly successes: number;
	readonly failures?: number;
	readonly kind?: detection.FailureKind;
	readonly sheds?: number;
	/**
	Latency bucket of the successes.
	*/
	readonly bucket?: number;
};

/**
Detection that runs on generated reports.
*/
export type Service = {
	readonly send: (event: detection.Event) => readonly detection.Effect[];
	/**
	Sends reports and ticks for the given time, and returns all effects.
	*/
	readonly run: (milliseconds: number, getReport: (upstream: string, host: number) => Report) => detection.Effect[];
	readonly getPhase: (upstream: string) => detection.Phase['kind'] | undefined;
	readonly getNow: () => number;
};

const TICK_MILLISECONDS = 100;

const USUAL_BUCKET = 20;

/**
Creates a service of upstreams `0`, `1`, ... with detection on host 0.
*/
export function createService({upstreams = 6, hosts = 4, operatingPoint = 'fast'}: {
	readonly upstreams?: number;
	readonly hosts?: number;
	readonly operatingPoint?: detection.OperatingPointName;
} = {}): Service {
	const random = utils.createRandom(1);
	const ids = Array.from({length: upstreams}, (_, index) => String(index));
	let state = detection.createDetectionState({host: 'host 0', operatingPoint});
	let now = 0;
	let sequence = 0;
	const send: Service['send'] = event => {
		const transition = detection.stepDetection(state, event, {now, random});
		state = transition.state;
		return transition.effects;
	};

	send({kind: 'upstreams-changed', upstreams: ids.map(id => ({id, state: 'serving'}))});
	return {
		send,
		run(milliseconds, getReport) {
			const effects: detection.Effect[] = [];
			for (const end = now + milliseconds; now < end;) {
				now += TICK_MILLISECONDS;
				sequence++;
				for (let host = 0; host < hosts; host++) {
					const summary: detection.Summary = {
						host: `host ${host}`,
						failureDomain: `domain ${host % 2}`,
						epoch: 1,
						sequence,
						upstreams: ids.map(id => createUpstreamSummary(id, getReport(id, host))),
					};
					effects.push(...send({kind: 'summary', summary}));
				}

				effects.push(...send({kind: 'tick'}));
			}

			return effects;
		},
		getPhase: upstream => state.upstreams.get(upstream)?.phase.kind,
		getNow: () => now,
	};
}

function createUpstreamSummary(id: string, report: Report): detection.UpstreamSummary {
	const {successes, failures = 0, kind = 'status', sheds = 0, bucket = USUAL_BUCKET} = report;
	return {
		id,
		successes,
		failures: failures === 0 ? {} : {[kind]: failures},
		sheds,
		latencies: [bucket, successes],
	};
}
