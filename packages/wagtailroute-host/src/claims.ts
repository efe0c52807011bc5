/**
Claims of idempotency keys: one answer for the whole fleet, committed by a quorum before anything is sent.
*/
import * as crypto from 'node:crypto';
import * as proxy from 'wagtailroute-proxy';
import * as records from 'wagtailroute-records';
import {CLAIM_TIMEOUT_MILLISECONDS, SETTLE_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import {proposeCommand} from './proposals.ts';

type UngrantedResult = Exclude<records.ClaimResult, {kind: 'granted' | 'ran'}>;

const FAILURES_BY_REFUSAL: Readonly<Record<records.ClaimRefusal, proxy.RequestFailureKind>> = {
	'records-full': 'idempotency-records-full',
	'organisation-full': 'idempotency-records-full',
	abandoned: 'idempotency-records-unavailable',
	'not-held': 'idempotency-records-unavailable',
};

const FAILURES_BY_RESULT: Readonly<Record<UngrantedResult['kind'], proxy.RequestFailureKind>> = {
	running: 'idempotency-key-running',
	unknown: 'idempotency-key-outcome-unknown',
	mismatch: 'idempotency-key-mismatch',
	refused: 'idempotency-records-unavailable',
};

/**
Claims a key for one attempt.
*/
export async function claimKey(context: HostContext, request: proxy.ClaimRequest): Promise<proxy.ClaimAnswer> {
	const requestedAt = context.now();
	const claim = createClaim(context, request);
	const proposed = await proposeCommand(context, 'records', {name: 'claim', stampedAt: 0, payload: claim}, {
		timeoutMilliseconds: Math.min(CLAIM_TIMEOUT_MILLISECONDS, request.timeoutMilliseconds),
		isRepeatable: true,
	});
	if (proposed.isErr()) {
		if (proposed.error.isPossiblyTaken) {
			// The claim may stand although nobody will use it: given back, the key can be claimed again.
			settle(context, claim, {kind: 'not-run'});
		}

		// Not-run is true of this send only: an earlier one with the same key may have run, and nobody can look it up now.
		return refuse(
			'idempotency-records-unavailable',
			`This send was not run; whether an earlier one with the Idempotency-Key ${request.key} was, can not be told now. ${proposed.error.message}`,
		);
	}

	const result = proposed.value as records.ClaimResult;
	if (result.kind === 'granted') {
		return {
			kind: 'granted',
			isSendable: () => context.now() - requestedAt < result.validityMilliseconds,
			settle(settlement) {
				settle(context, claim, createSettlementEnding(settlement));
			},
		};
	}

	return result.kind === 'ran' ? createStoredAnswer(result.answer) : refuseUngranted(result, request.key);
}

function createClaim(context: HostContext, request: proxy.ClaimRequest): records.Claim {
	const bodyDigest = crypto.createHash('sha256')
		.update(`${request.contentLength ?? request.body.length}\n`)
		.update(request.body)
		.digest('base64url');
	return {
		service: request.service,
		organisation: request.organisation,
		key: request.key,
		digest: records.getRequestDigest({method: request.method, path: request.requestTarget, bodyDigest}),
		attempt: crypto.randomUUID(),
		host: context.settings.hostId,
		bootId: context.boot,
		budgetMilliseconds: Math.ceil(request.timeoutMilliseconds),
	};
}

function createStoredAnswer(answer: records.StoredAnswer | undefined): proxy.ClaimAnswer {
	return answer === undefined
		? refuse('idempotency-answer-not-kept', 'The request ran; its answer was too large to keep.')
		: {kind: 'stored', answer: {status: answer.status, headers: mergeHeaders(answer.headers), body: answer.body}};
}

/**
Stored headers are pairs; a name that comes more than once becomes a list.
*/
function mergeHeaders(pairs: records.StoredAnswer['headers']): Record<string, string | string[]> {
	const headers: Record<string, string | string[]> = {};
	for (const [name, value] of pairs) {
		const existing = headers[name];
		headers[name] = existing === undefined ? value : [existing, value].flat();
	}

	return headers;
}

function refuseUngranted(result: UngrantedResult, key: string): proxy.ClaimAnswer {
	const kind = result.kind === 'refused' ? FAILURES_BY_REFUSAL[result.reason] : FAILURES_BY_RESULT[result.kind];
	return refuse(kind, `The Idempotency-Key ${key} was not granted (${result.kind}).`);
}

function refuse(kind: proxy.RequestFailureKind, message: string): proxy.ClaimAnswer {
	return {kind: 'refused', failure: proxy.createRequestFailure(kind, message)};
}

function createSettlementEnding(settlement: proxy.Settlement): records.Settlement['ending'] {
	if (settlement.outcome !== 'ran') {
		return {kind: settlement.outcome};
	}

	const {answer} = settlement;
	return {
		kind: 'ran',
		answer: answer === undefined
			? undefined
			: {
				status: answer.status,
				headers: Object.entries(answer.headers).flatMap(([name, value]) => [value].flat().map(item => [name, item] as const)),
				body: answer.body,
			},
	};
}

/**
Settles in the background: the caller has its answer, and an attempt that is never settled becomes unknown by itself.
*/
function settle(context: HostContext, claim: records.Claim, ending: records.Settlement['ending']): void {
	const {
		service, organisation, key, attempt,
	} = claim;
	const payload: records.Settlement = {
		service, organisation, key, attempt, ending,
	};
	void proposeCommand(context, 'records', {name: 'settle', stampedAt: 0, payload}, {
		timeoutMilliseconds: SETTLE_TIMEOUT_MILLISECONDS,
		isRepeatable: true,
	});
}
