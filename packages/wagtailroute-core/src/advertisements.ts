/**
What a backend server advertises about itself in its answers, beside the answer to a request.
*/

/**
An advertisement. `rate-limit`: the requests a second that the backend server takes from all hosts together. `backoff`: the time for which the host that got
the answer is to send nothing more. `draining`: the backend server leaves and takes no new requests.
*/
export type Advertisement =
	| {readonly kind: 'rate-limit'; readonly ratePerSecond: number}
	| {readonly kind: 'backoff'; readonly milliseconds: number}
	| {readonly kind: 'draining'};
