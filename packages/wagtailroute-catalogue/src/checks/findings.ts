/**
Findings about entries that are about to be sent. An error is what the fleet would refuse; its code is that of the fleet's failure. A
warning is what the fleet would accept, although it can't have the effect that the entry states.
*/

/**
How serious a finding is.
*/
export type Severity = 'error' | 'warning';

const SEVERITIES = {
	'entry-invalid': 'error',
	'entry-too-large': 'error',
	'route-conflict': 'error',
	'catalogue-full': 'error',
	'entry-repeated': 'warning',
	'host-with-port': 'warning',
	'methods-unknown': 'warning',
	'route-covered': 'warning',
	'service-unmatched': 'warning',
	'timeout-below-objective': 'warning',
	'objective-below-queue': 'warning',
	'share-below-one-request': 'warning',
} as const satisfies Readonly<Record<string, Severity>>;

/**
The kind of a finding. Printed and read by programs, so the codes keep their names.
*/
export type FindingCode = keyof typeof SEVERITIES;

/**
A finding. Printed as JSON, so its fields keep their names.
*/
export type Finding = {
	readonly severity: Severity;
	readonly code: FindingCode;
	/**
	The name of the entry; `#3` for the third entry of a file if it has no name.
	*/
	readonly entry: string;
	/**
	The path of the field, such as `routes.0.class`; absent if the finding is about the entry as a whole.
	*/
	readonly field?: string;
	readonly message: string;
};

/**
Creates a finding with the severity of its code.
*/
export function createFinding(code: FindingCode, entry: string, message: string, field?: string): Finding {
	return {
		severity: SEVERITIES[code], code, entry, ...field !== undefined && {field}, message,
	};
}
