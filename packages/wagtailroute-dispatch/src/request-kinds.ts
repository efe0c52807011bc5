/**
Kinds of queued requests: at one moment all requests of a kind get the same answer, except for how long each has waited and for what bars its host.
*/
import type {SlotRequest} from './slot-requests.ts';

/**
Kinds of known requests. Building a key for each queued request at each event would take longer than the rest of its examination.
*/
const kinds = new WeakMap<SlotRequest, string>();

/**
Returns the kind of a request whose expected response is small.
*/
export function getKind(request: SlotRequest): string {
	const known = kinds.get(request);
	if (known !== undefined) {
		return known;
	}

	const {requestClass, failureDomain, isResend, excluded} = request;
	const kind = JSON.stringify([requestClass, failureDomain, isResend, ...excluded]);
	kinds.set(request, kind);
	return kind;
}
