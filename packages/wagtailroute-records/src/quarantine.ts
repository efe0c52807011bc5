/**
Quarantine of requests that crash the upstreams of one service.

A request may crash each backend server that runs it while its caller resends it through any host, so that the service loses
one upstream after the other. After the first crash each request that was in flight there becomes a suspect. A suspect runs
only on trial: one copy at a time fleet-wide, and one suspect at a time on an upstream. So it crashes at most one further
upstream, and after that second crash it is quarantined. A suspect that completes its trial is cleared, since it does not
crash each server. A request whose fingerprint has completed on the reporting host never becomes a suspect, so a frequent
read that was in flight beside the crashing request is not delayed.
*/
import {
	CLAIM_VALIDITY_MILLISECONDS,
	CRASH_EXPIRY_MILLISECONDS,
	FINGERPRINT_EXPIRY_MILLISECONDS,
	MAX_FINGERPRINTS_PER_SERVICE,
	QUARANTINE_DURATION_MILLISECONDS,
	TRIAL_GRACE_MILLISECONDS,
} from './constants.ts';
import type {
	CrashReport,
	FingerprintEntry,
	QuarantineChange,
	QuarantineState,
	TrialEnding,
	TrialRequest,
	TrialResult,
} from './fingerprints.ts';

// Number of attributed crashes at which a fingerprint is quarantined.
const CRASHES_TO_QUARANTINE = 2;

/**
Creates the state of a service without fingerprints.
*/
export function createQuarantineState(): QuarantineState {
	return {version: 0, entries: [], crashes: []};
}

/**
Applies a crash report: attributes the crash to the requests in flight, and to the suspect on trial at the upstream.
*/
export function applyCrashReport(previous: QuarantineState, report: CrashReport, time: number): QuarantineChange {
	const state = expireQuarantine(previous, time);
	const name = JSON.stringify([report.upstream, report.incarnation]);
	// A late report of a known crash does not concern a suspect that is on trial at the restarted upstream.
	const isKnown = state.crashes.some(crash => crash.name === name);
	const onTrial = isKnown ? [] : state.entries.filter(({trial}) => trial?.upstream === report.upstream);
	const implicated = new Set([
		...onTrial.map(({fingerprint}) => fingerprint),
		...report.inFlight.filter(({hasCompleted}) => !hasCompleted).map(({fingerprint}) => fingerprint),
	]);
	const others = state.crashes.filter(crash => crash.name !== name);
	let change: QuarantineChange = {
		state: {...state, crashes: [...others, {name, until: time + CRASH_EXPIRY_MILLISECONDS}]},
		notices: [],
	};
	for (const fingerprint of implicated) {
		change = attributeCrash(change, fingerprint, {name, time});
	}

	return change;
}

/**
Applies a trial request: grants the trial unless a copy of the suspect or another suspect on the upstream is on trial.
*/
export function applyTrialRequest(
	previous: QuarantineState,
	request: TrialRequest,
	time: number,
): {readonly state: QuarantineState; readonly result: TrialResult} {
	const state = expireQuarantine(previous, time);
	const entry = state.entries.find(({fingerprint}) => fingerprint === request.fingerprint);
	if (entry === undefined || entry.standing === 'cleared') {
		return {state, result: {kind: 'clear'}};
	}

	if (entry.standing === 'quarantined') {
		return {state, result: {kind: 'quarantined', milliseconds: entry.until - time}};
	}

	const {attempt, upstream, budgetMilliseconds} = request;
	const granted: TrialResult = {kind: 'granted', validityMilliseconds: CLAIM_VALIDITY_MILLISECONDS};
	if (entry.trial !== undefined) {
		const isSame = entry.trial.attempt === attempt && entry.trial.upstream === upstream;
		return {state, result: isSame ? granted : {kind: 'wait', milliseconds: entry.trial.until - time}};
	}

	if (state.entries.some(({trial}) => trial?.upstream === upstream)) {
		return {state, result: {kind: 'upstream-busy'}};
	}

	const until = time + CLAIM_VALIDITY_MILLISECONDS + budgetMilliseconds + TRIAL_GRACE_MILLISECONDS;
	// A suspect does not expire before its trial.
	const suspectOnTrial: FingerprintEntry = {
		...entry, until: Math.max(entry.until, until), trial: {attempt, upstream, until},
	};
	return {state: putEntry(state, suspectOnTrial), result: granted};
}

/**
Ends a trial that the upstream survived. Clears the suspect if the request has completed.
*/
export function applyTrialEnding(previous: QuarantineState, {attempt, ending}: TrialEnding, time: number): QuarantineChange {
	const state = expireQuarantine(previous, time);
	const entry = state.entries.find(({trial}) => trial?.attempt === attempt);
	if (entry === undefined) {
		return {state, notices: []};
	}

	const {trial: _ended, ...withoutTrial} = entry;
	const cleared: FingerprintEntry = {...withoutTrial, standing: 'cleared', until: time + FINGERPRINT_EXPIRY_MILLISECONDS};
	return ending === 'completed'
		? setStatus({state, notices: []}, cleared)
		: {state: putEntry(state, withoutTrial), notices: []};
}

/**
Clears a suspect or quarantined fingerprint by an operator's decision.
*/
export function releaseFingerprint(previous: QuarantineState, fingerprint: string, time: number): QuarantineChange {
	const state = expireQuarantine(previous, time);
	const entry = state.entries.find(existing => existing.fingerprint === fingerprint);
	return entry === undefined
		? {state, notices: []}
		: setStatus({state, notices: []}, {
			fingerprint, standing: 'cleared', crashes: [], until: time + FINGERPRINT_EXPIRY_MILLISECONDS,
		});
}

/**
Removes the fingerprints, trials and crashes that have expired at the group time.
*/
export function expireQuarantine(state: QuarantineState, time: number): QuarantineState {
	const isDue = state.crashes.some(({until}) => until <= time)
		|| state.entries.some(({until, trial}) => until <= time || (trial !== undefined && trial.until <= time));
	if (!isDue) {
		return state;
	}

	const entries = state.entries
		.filter(({until}) => until > time)
		.map(({trial, ...entry}) => trial === undefined || trial.until <= time ? entry : {...entry, trial});
	return {...state, entries, crashes: state.crashes.filter(({until}) => until > time)};
}

/**
Adds `shift` to all times of the state, when a replica group with another group time adopts the service.
*/
export function shiftQuarantineTimes(state: QuarantineState, shift: number): QuarantineState {
	return {
		...state,
		entries: state.entries.map(({trial, ...entry}) => ({
			...entry,
			until: entry.until + shift,
			...(trial !== undefined && {trial: {...trial, until: trial.until + shift}}),
		})),
		crashes: state.crashes.map(({name, until}) => ({name, until: until + shift})),
	};
}

function attributeCrash(
	change: QuarantineChange,
	fingerprint: string,
	{name, time}: {readonly name: string; readonly time: number},
): QuarantineChange {
	const existing = change.state.entries.find(entry => entry.fingerprint === fingerprint);
	if (existing !== undefined && (existing.standing !== 'suspect' || existing.crashes.includes(name))) {
		return change;
	}

	const crashes = [...existing?.crashes ?? [], name];
	const isQuarantined = crashes.length >= CRASHES_TO_QUARANTINE;
	return setStatus(change, {
		fingerprint,
		standing: isQuarantined ? 'quarantined' : 'suspect',
		crashes,
		until: time + (isQuarantined ? QUARANTINE_DURATION_MILLISECONDS : FINGERPRINT_EXPIRY_MILLISECONDS),
	});
}

function setStatus({state, notices}: QuarantineChange, entry: FingerprintEntry): QuarantineChange {
	const version = state.version + 1;
	const {fingerprint, standing} = entry;
	return {
		state: {...putEntry(state, entry), version},
		notices: [...notices, {fingerprint, standing, version}],
	};
}

// The table is bounded, because callers determine the number of fingerprints. A cleared entry is evicted first, then the
// oldest suspect that is not on trial. Other entries are never evicted; where none can be evicted, the new entry is dropped.
function putEntry(state: QuarantineState, entry: FingerprintEntry): QuarantineState {
	const others = state.entries.filter(({fingerprint}) => fingerprint !== entry.fingerprint);
	if (others.length < MAX_FINGERPRINTS_PER_SERVICE) {
		return {...state, entries: [...others, entry]};
	}

	const evicted = others.find(({standing}) => standing === 'cleared')
		?? others.find(({standing, trial}) => standing === 'suspect' && trial === undefined);
	return evicted === undefined ? state : {...state, entries: [...others.filter(other => other !== evicted), entry]};
}
