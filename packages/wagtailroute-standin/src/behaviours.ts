/**
The faults a stand-in can be told to show. Several may hold at once and are tried in the order given.
*/
import * as zod from 'zod';

const share = zod.number().min(0).max(1).default(1);
const milliseconds = zod.number().min(0).max(600_000);
const status = zod.int().min(400).max(599).default(500);

const BEHAVIOUR = zod.discriminatedUnion('kind', [
	zod.strictObject({
		kind: zod.literal('slow'), delayMilliseconds: milliseconds.default(0), factor: zod.number().min(0).max(10_000).default(1), share,
	}),
	zod.strictObject({kind: zod.literal('fail'), status, share}),
	zod.strictObject({kind: zod.literal('shed'), share}),
	zod.strictObject({kind: zod.literal('reset'), when: zod.enum(['before', 'midway']).default('before'), share}),
	zod.strictObject({kind: zod.literal('truncate'), framing: zod.enum(['length', 'chunked']).default('length'), share}),
	zod.strictObject({kind: zod.literal('crash'), mark: zod.string().min(1), backAfterMilliseconds: milliseconds.optional()}),
	zod.strictObject({kind: zod.literal('lie'), says: zod.enum(['ok', 'sick']).default('ok')}),
	zod.strictObject({kind: zod.literal('flap'), periodMilliseconds: milliseconds.min(1), status}),
	zod.strictObject({kind: zod.literal('cold'), milliseconds, delayMilliseconds: milliseconds}),
	zod.strictObject({kind: zod.literal('half-open'), share}),
	zod.strictObject({kind: zod.literal('endless'), share}),
	zod.strictObject({kind: zod.literal('oversize-headers'), bytes: zod.int().min(1).max(1_048_576).default(65_536), share}),
]);

const BEHAVIOURS = zod.array(BEHAVIOUR).max(16);

/**
A fault. `share` is the part of the requests that meet it, in [0, 1].

- `slow`: work takes `factor` times as long, and `delayMilliseconds` more.
- `fail`: runs the request and answers `status`.
- `shed`: refuses with 503 and `Wagtailroute-Outcome: not-run`.
- `reset`: destroys the connection before the run, or after the run with half of the answer sent.
- `truncate`: runs, then ends the answer early: short of its Content-Length, or without its last chunk.
- `crash`: a request with `mark` in its path, headers or body ends the listener and all connections; the server comes back
  after `backAfterMilliseconds`, or not.
- `lie`: the health endpoint says `says` whatever the truth.
- `flap`: answers `status` in every second period.
- `cold`: for `milliseconds` after a start, each run takes up to `delayMilliseconds` more, falling to none.
- `half-open`: accepts and never answers; does not run.
- `endless`: runs and sends an answer without an end.
- `oversize-headers`: runs and answers with `bytes` of headers.
*/
export type Behaviour = zod.output<typeof BEHAVIOUR>;

/**
A fault as it is asked for, defaults left out.
*/
export type BehaviourRequest = zod.input<typeof BEHAVIOUR>;

/**
The name of a fault.
*/
export type BehaviourKind = Behaviour['kind'];

/**
Checks faults that came from outside and fills in their defaults; throws zod's error for a malformed one.
*/
export function parseBehaviours(value: unknown): readonly Behaviour[] {
	return BEHAVIOURS.parse(value);
}
