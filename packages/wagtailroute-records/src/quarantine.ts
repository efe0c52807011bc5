/**
Requests that crash upstreams, of one service.

What goes wrong: a request crashes each backend server that runs it, its caller sends it again through any host, and the
service loses one upstream after the other. After the first crash every request that was in flight there is a suspect. A
suspect runs only on trial, one copy at a time fleet-wide and alone among suspects on its upstream, so at most one further
upstream is lost to it; after the second crash it is quarantined. A suspect that completes on trial is cleared: it is not
one that crashes each server. A request that the reporting host has seen complete is never a suspect, so a popular read
that died beside the culprit is not held up.
*/
import {
	CLAIM_VALIDITY_MILLISECONDS,
	CRASH_EXPIRY_MILLISECONDS,
	MAX_FINGERPRINTS_PER_SERVICE,
	QUARANTINE_DURATION_MILLISECONDS,
	FINGERPRINT_EXPIRY_MILLISECONDS,
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

// Crashes after which a fingerprint is quarantined.
const CRASHES_TO_QUARANTINE = 2;

/**
Creates the state of a service without suspects.
*/
export function createQuarantineState(): QuarantineState {
	return {version: 0, entries: [], crashes: []};
}

/**
Takes a crash: ties it to what was in flight, and to the suspect that was on trial there.
*/
export function applyCrashReport(before: QuarantineState, report: CrashReport, time: number): QuarantineChange {
	const state = expireQuarantine(before, time);
	const name = JSON.stringify([report.upstream, report.incarnation]);
	// A late report of a crash that is known says nothing about who is on trial at the upstream's next life.
	const isKnown = state.crashes.some(crash => crash.name === name);
	const onTrial = isKnown ? [] : state.entries.filter(({trial}) => trial?.upstream === report.upstream);
	const tied = new Set([
		...onTrial.map(({fingerprint}) => fingerprint),
		...report.inFlight.filter(({hasCompleted}) => !hasCompleted).map(({fingerprint}) => fingerprint),
	]);
	const others = state.crashes.filter(crash => crash.name !== name);
	let change: QuarantineChange = {
		state: {...state, crashes: [...others, {name, until: time + CRASH_EXPIRY_MILLISECONDS}]},
		notices: [],
	};
	for (const fingerprint of tied) {
		change = attributeCrash(change, fingerprint, {name, time});
	}

	return change;
}

/**
Asks whether a suspect may run now.
*/
export function applyTrialRequest(
	before: QuarantineState,
	request: TrialRequest,
	time: number,
): {readonly state: QuarantineState; readonly result: TrialResult} {
	const state = expireQuarantine(before, time);
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
	// A suspicion lasts at least as long as its trial.
	const tried: FingerprintEntry = {
		...entry, until: Math.max(entry.until, until), trial: {attempt, upstream, until},
	};
	return {state: putEntry(state, tried), result: granted};
}

/**
Ends a trial that the upstream survived. Completion clears the suspect.
*/
export function applyTrialEnding(before: QuarantineState, {attempt, ending}: TrialEnding, time: number): QuarantineChange {
	const state = expireQuarantine(before, time);
	const entry = state.entries.find(({trial}) => trial?.attempt === attempt);
	if (entry === undefined) {
		return {state, notices: []};
	}

	const {trial: _ended, ...untried} = entry;
	const cleared: FingerprintEntry = {...untried, standing: 'cleared', until: time + FINGERPRINT_EXPIRY_MILLISECONDS};
	return ending === 'completed'
		? setStatus({state, notices: []}, cleared)
		: {state: putEntry(state, untried), notices: []};
}

/**
Lifts a quarantine or suspicion, when an operator knows better.
*/
export function releaseFingerprint(before: QuarantineState, fingerprint: string, time: number): QuarantineChange {
	const state = expireQuarantine(before, time);
	const entry = state.entries.find(known => known.fingerprint === fingerprint);
	return entry === undefined
		? {state, notices: []}
		: setStatus({state, notices: []}, {
			fingerprint, standing: 'cleared', crashes: [], until: time + FINGERPRINT_EXPIRY_MILLISECONDS,
		});
}

/**
Drops what has run out by the group time.
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
Moves all times of the state, when a cell with another group time takes over the service.
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
	const known = change.state.entries.find(entry => entry.fingerprint === fingerprint);
	if (known !== undefined && (known.standing !== 'suspect' || known.crashes.includes(name))) {
		return change;
	}

	const crashes = [...known?.crashes ?? [], name];
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

// The table is bounded: callers choose what requests look like. A cleared entry goes first, then the oldest suspect; a
// quarantined one stays, and when all are quarantined the newcomer is dropped.
function putEntry(state: QuarantineState, entry: FingerprintEntry): QuarantineState {
	const others = state.entries.filter(({fingerprint}) => fingerprint !== entry.fingerprint);
	if (others.length < MAX_FINGERPRINTS_PER_SERVICE) {
		return {...state, entries: [...others, entry]};
	}

	const victim = others.find(({standing}) => standing === 'cleared')
		?? others.find(({standing, trial}) => standing === 'suspect' && trial === undefined);
	return victim === undefined ? state : {...state, entries: [...others.filter(other => other !== victim), entry]};
}
