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
import {ANSWER_SCHEMAS, DATAGRAM_SCHEMAS, METHOD_SCHEMAS} from './method-schemas.ts';

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
export function checkPeer(unchecked: peer.Peer, onRefused: RefusalListener): peer.Peer {
	return {
		...unchecked,
		async call(to, method, parameters, timeoutMilliseconds) {
			const answer = await unchecked.call(to, method, parameters, timeoutMilliseconds);
			if (answer.isErr() || isValid(ANSWER_SCHEMAS.get(method), answer.value)) {
				return answer;
			}

			onRefused({method});
			return results.Err(core.createFailure('peer-error', `Call to ${core.formatAddress(to)}: the answer is malformed.`));
		},
		registerMethod(name, method) {
			const schema = METHOD_SCHEMAS.get(name);
			utils.invariant(schema !== undefined, `the method ${name} has no schema in method-schemas.ts`);
			return unchecked.registerMethod(name, (parameters, caller) => {
				if (!isValid(schema, parameters)) {
					onRefused({method: name, from: caller.from});
					throw new MalformedParameters(`The parameters of ${name} are malformed.`);
				}

				return method(parameters, caller);
			});
		},
		registerDatagramHandler: handler => unchecked.registerDatagramHandler((method, parameters) => {
			const schema = DATAGRAM_SCHEMAS.get(method);
			if (schema !== undefined && isValid(schema, parameters)) {
				handler(method, parameters);
			} else {
				onRefused({method});
			}
		}),
	};
}

function isValid(schema: z.ZodType | undefined, value: unknown): boolean {
	return schema === undefined || schema.safeParse(value).success;
}
