/**
Checks whether an upstream still answers, by its health path.

Any answer will do: a server that reports that it is unhealthy, or sheds the check, has not crashed. An answer of another instance shows that the one asked for
has ended.
*/
import * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {createUpstreamClient} from './connections.ts';
import {HEALTH_CHECK_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {Dialect} from './dialect.ts';
import {OVERHEAD_CODE} from './overhead.ts';

/**
What a health check shows. `answered`: the upstream runs. `gone`: nothing listens at its address, or another instance does. `closed`: the connection ended without an
answer. `silent`: no answer in time.
*/
export type ProbeResult = 'answered' | 'gone' | 'closed' | 'silent';

/**
The upstream to check, and the path to request.
*/
export type ProbedUpstream = {
	readonly upstream: core.UpstreamId;
	readonly address: core.Address;
	readonly healthPath: string;
};

/**
Sends a health check. Never rejects: an upstream that can't be asked counts as silent.
*/
export type UpstreamProbe = (probed: ProbedUpstream) => Promise<ProbeResult>;

const CLOSED_CODES: ReadonlySet<unknown> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);
const PARSER_ERROR_NAME = 'HTTPParserError';

/**
Codes of responses that go on without end. The upstream runs, as one that sends something else than HTTP does.
*/
const ENDLESS_CODES: ReadonlySet<unknown> = new Set([OVERHEAD_CODE, 'UND_ERR_HEADERS_OVERFLOW']);

/**
Creates the check. Each uses a connection of its own: one of a pool may be in the state that the check is to find out.
*/
export function createUpstreamProbe({createProbeHeaders, isAnswerOfOther}: Pick<Dialect, 'createProbeHeaders' | 'isAnswerOfOther'>): UpstreamProbe {
	return async ({upstream, address, healthPath}) => {
		if (!core.isConnectable(address)) {
			return 'silent';
		}

		const client = createUpstreamClient(`http://${core.formatAddress(address)}`, {}, {
			connectTimeoutMilliseconds: HEALTH_CHECK_TIMEOUT_MILLISECONDS,
		});
		const {promise, resolve} = Promise.withResolvers<ProbeResult>();
		const cancelTimeout = utils.scheduleAfterReading(HEALTH_CHECK_TIMEOUT_MILLISECONDS, () => {
			resolve('silent');
		});
		client.dispatch({path: healthPath, method: 'GET', headers: createProbeHeaders(upstream)}, {
			onRequestStart: () => undefined,
			onResponseStart(_controller, status, headers) {
				if (status < 200) {
					// An interim response names no instance.
					return;
				}

				resolve(isAnswerOfOther(status, headers, upstream) ? 'gone' : 'answered');
			},
			onResponseData: () => undefined,
			onResponseEnd: () => undefined,
			onResponseError(_controller, error) {
				resolve(readFailure(error));
			},
		});
		const result = await promise;
		cancelTimeout();
		void client.destroy();
		return result;
	};
}

function readFailure({name, code}: NodeJS.ErrnoException): ProbeResult {
	if (code === 'ECONNREFUSED') {
		return 'gone';
	}

	if (CLOSED_CODES.has(code)) {
		return 'closed';
	}

	return name === PARSER_ERROR_NAME || ENDLESS_CODES.has(code) ? 'answered' : 'silent';
}
