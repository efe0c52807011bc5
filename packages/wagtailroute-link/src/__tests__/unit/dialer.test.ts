/**
Tests of how long a dialer waits.
*/
import test from 'ava';
import {
	MIN_CONNECT_TIMEOUT_MILLISECONDS,
	MAX_CONNECT_TIMEOUT_MILLISECONDS,
	MAX_RECONNECT_DELAY_MILLISECONDS,
	FAST_RECONNECT_PERIOD_MILLISECONDS,
	MAX_FAST_RECONNECT_DELAY_MILLISECONDS,
} from '../../constants.ts';
import {getNextConnectTimeout, getNextReconnectDelay} from '../../dialer.ts';

const DELAY_CASES = [
	{
		// Symptom: after a restart of everything the first request is answered half a second after the last host is ready.
		// Sequence: hosts start within 0.3 s; the first tries find nobody; the next ones come after 0.2 s and 0.4 s.
		// Cause: the wait doubled as if the other side were away for long.
		name: 'a short while right after the loss', previousDelay: 100, disconnectedMilliseconds: 0, milliseconds: MAX_FAST_RECONNECT_DELAY_MILLISECONDS,
	},
	{
		name: 'twice as long each time later', previousDelay: 100, disconnectedMilliseconds: FAST_RECONNECT_PERIOD_MILLISECONDS, milliseconds: 200,
	},
	{
		name: 'no longer than the longest wait', previousDelay: MAX_RECONNECT_DELAY_MILLISECONDS, disconnectedMilliseconds: 60_000, milliseconds: MAX_RECONNECT_DELAY_MILLISECONDS,
	},
];

for (const {name, previousDelay, disconnectedMilliseconds, milliseconds} of DELAY_CASES) {
	test(`a lost link is tried again after ${name}`, t => {
		t.is(getNextReconnectDelay(previousDelay, disconnectedMilliseconds), milliseconds);
	});
}

const TIMEOUT_CASES = [
	{
		// Symptom: after a loss of power everywhere entry hosts are linked 0.6 s after they run, though the control hosts run 0.3 s after them.
		// Sequence: an entry host has power sooner and dials; its first packet is dropped by a host without power; the system would
		// send it again after a second; the try is given up only at its limit of 0.6 s.
		// Cause: one limit for hosts that are far and hosts that are not there yet.
		name: 'twice as long after one that ran into its limit', previousTimeout: MIN_CONNECT_TIMEOUT_MILLISECONDS, milliseconds: 2 * MIN_CONNECT_TIMEOUT_MILLISECONDS,
	},
	{name: 'no longer than the longest limit', previousTimeout: MAX_CONNECT_TIMEOUT_MILLISECONDS, milliseconds: MAX_CONNECT_TIMEOUT_MILLISECONDS},
];

for (const {name, previousTimeout, milliseconds} of TIMEOUT_CASES) {
	test(`a try at a connection takes ${name}`, t => {
		t.is(getNextConnectTimeout(previousTimeout), milliseconds);
	});
}

test('two tries at a host without power take less than the longest one', t => {
	t.true(MIN_CONNECT_TIMEOUT_MILLISECONDS + getNextConnectTimeout(MIN_CONNECT_TIMEOUT_MILLISECONDS) < MAX_CONNECT_TIMEOUT_MILLISECONDS);
});
