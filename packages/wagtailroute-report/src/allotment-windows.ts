/**
The worst window of each organisation, from the log lines of all hosts: how near the admitted requests came to the allotment.

The allotments are those of the lines on refusals, so an organisation that was never refused is not listed. A line may have a prefix, as collectors of logs add one.
*/

/**
The window of an organisation in which most requests were admitted.
*/
export type AllotmentWindow = {
	readonly organisation: string;
	/**
	Requests sent in the window that ran, or may have run.
	*/
	readonly admitted: number;
	/**
	Requests that the allotment holds for a window.
	*/
	readonly allotment: number;
	/**
	Requests of the whole time that were refused because the allotment was used up.
	*/
	readonly refused: number;
	/**
	Start of the window in Unix milliseconds.
	*/
	readonly since: number;
};

/**
Reads log lines and finds the windows.
*/
export type AllotmentWindows = {
	readonly addLine: (line: string) => void;
	/**
	Returns the worst window of each organisation that was refused, the fullest first.
	*/
	readonly list: () => readonly AllotmentWindow[];
};

type LogLine = {
	readonly message?: unknown;
	readonly timestamp?: unknown;
	readonly organisation?: unknown;
	readonly outcome?: unknown;
	readonly status?: unknown;
	readonly milliseconds?: unknown;
	readonly ratePerSecond?: unknown;
	readonly burst?: unknown;
};

type OrganisationUse = {
	readonly sentAt: number[];
	refused: number;
	/**
	Requests a second, and at once beyond them; undefined until a refusal was logged.
	*/
	allotment?: {readonly ratePerSecond: number; readonly burst: number};
};

const REQUEST_MESSAGE = /^request: Request (?:answered|failed)\.$/v;
const REFUSAL_MESSAGE = 'allotment: Organisation exceeded its allotment.';
const ADMITTED_OUTCOMES: ReadonlySet<unknown> = new Set(['ran', 'unknown']);
const REFUSED_STATUS = 429;
const MILLISECONDS_PER_SECOND = 1000;

/**
Starts without lines.
*/
export function createAllotmentWindows(windowMilliseconds: number): AllotmentWindows {
	const uses = new Map<string, OrganisationUse>();

	const getUse = (organisation: string) => {
		const use = uses.get(organisation) ?? {sentAt: [], refused: 0};
		uses.set(organisation, use);
		return use;
	};

	const addRequest = (organisation: string, {timestamp, outcome, status, milliseconds}: LogLine) => {
		if (ADMITTED_OUTCOMES.has(outcome)) {
			getUse(organisation).sentAt.push(Date.parse(String(timestamp)) - Number(milliseconds));
		} else if (status === REFUSED_STATUS) {
			getUse(organisation).refused++;
		}
	};

	return {
		addLine(line) {
			const fields = parseLine(line);
			if (typeof fields?.organisation !== 'string' || typeof fields.message !== 'string') {
				return;
			}

			if (REQUEST_MESSAGE.test(fields.message)) {
				addRequest(fields.organisation, fields);
			} else if (fields.message === REFUSAL_MESSAGE && typeof fields.ratePerSecond === 'number' && typeof fields.burst === 'number') {
				getUse(fields.organisation).allotment = {ratePerSecond: fields.ratePerSecond, burst: fields.burst};
			}
		},
		list: () => uses.entries()
			.flatMap(([organisation, use]) => use.allotment === undefined
				? []
				: [{
					organisation,
					...findFullestWindow(use.sentAt, windowMilliseconds),
					allotment: (use.allotment.ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND) + use.allotment.burst,
					refused: use.refused,
				}])
			.toArray()
			.toSorted((left, right) => (right.admitted / right.allotment) - (left.admitted / left.allotment)),
	};
}

/**
Formats the windows as a table, a line for each.
*/
export function formatAllotmentWindows(windows: readonly AllotmentWindow[]): string {
	const rows = windows.map(({organisation, admitted, allotment, refused, since}) =>
		[organisation, String(admitted), allotment.toFixed(0), (admitted / allotment).toFixed(2), String(refused), new Date(since).toISOString()]);
	return [['organisation', 'admitted', 'allotment', 'part', 'refused', 'since'], ...rows].map(row => row.join('\t')).join('\n');
}

function parseLine(line: string): LogLine | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return JSON.parse(line.slice(start)) as LogLine;
	} catch {
		// Collectors cut lines off, and processes write other lines too.
		return undefined;
	}
}

function findFullestWindow(times: readonly number[], windowMilliseconds: number): Pick<AllotmentWindow, 'admitted' | 'since'> {
	const sorted = times.toSorted((left, right) => left - right);
	let fullest = {admitted: 0, since: sorted[0] ?? 0};
	let first = 0;
	for (const [last, at] of sorted.entries()) {
		while (at - sorted[first]! > windowMilliseconds) {
			first++;
		}

		const admitted = last - first + 1;
		fullest = admitted > fullest.admitted ? {admitted, since: sorted[first]!} : fullest;
	}

	return fullest;
}
