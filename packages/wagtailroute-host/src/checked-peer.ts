/**
The calls between hosts, their parameters checked before any part sees them.

A host that is faulty, or older or newer than this one, sends what this one's parts don't expect. Their machines treat an
unexpected value as a defect and end the process, so one such host could end all others, and a command of that kind would end
them again at each start. Here such a call is answered by an error, a notification or datagram is dropped; both are counted.
*/
import * as core from 'wagtailroute-core';
import type * as peer from 'wagtailroute-peer';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import type * as z from 'zod';
import {ANSWER_SHAPES, DATAGRAM_SHAPES, METHOD_SHAPES} from './method-shapes.ts';

/**
Told of each refused message.
*/
export type RefusalListener = (refusal: {readonly method: string; readonly from?: core.HostId}) => void;

/**
Thrown in a method, which answers the caller with its message.
*/
class MalformedParameters extends Error {
	override readonly name = 'MalformedParameters';
}

/**
Returns the same end with its messages checked.
*/
export function checkPeer(opened: peer.Peer, onRefused: RefusalListener): peer.Peer {
	return {
		...opened,
		async call(to, method, parameters, timeoutMilliseconds) {
			const answer = await opened.call(to, method, parameters, timeoutMilliseconds);
			if (answer.isErr() || isShaped(ANSWER_SHAPES.get(method), answer.value)) {
				return answer;
			}

			onRefused({method});
			return results.Err(core.createFailure('peer-error', `Call to ${core.formatAddress(to)}: the answer is malformed.`));
		},
		registerMethod(name, method) {
			const shape = METHOD_SHAPES.get(name);
			utils.invariant(shape !== undefined, `the method ${name} has no shape in method-shapes.ts`);
			return opened.registerMethod(name, (parameters, caller) => {
				if (!isShaped(shape, parameters)) {
					onRefused({method: name, from: caller.from});
					throw new MalformedParameters(`The parameters of ${name} are malformed.`);
				}

				return method(parameters, caller);
			});
		},
		registerDatagramHandler: handler => opened.registerDatagramHandler((method, parameters) => {
			const shape = DATAGRAM_SHAPES.get(method);
			if (shape !== undefined && isShaped(shape, parameters)) {
				handler(method, parameters);
			} else {
				onRefused({method});
			}
		}),
	};
}

function isShaped(shape: z.ZodType | undefined, value: unknown): boolean {
	return shape === undefined || shape.safeParse(value).success;
}
