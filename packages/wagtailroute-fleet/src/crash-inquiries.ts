/**
Finds out whether upstreams have crashed that lost requests of this entry host, or leave them unanswered, and did not refuse a connection at once.

A crashed server may accept connections for a moment longer, or fall silent with all its connections open. So it is checked until it answers, is gone, or too much
time has passed. While it is silent, the control hosts are told: they know whether it still sends heartbeats.
*/
import type * as core from 'wagtailroute-core';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {
	CLOSED_CHECK_DELAY_MILLISECONDS,
	CLOSED_PROBES_OF_CRASH,
	FIRST_CHECK_DELAY_MILLISECONDS,
	MAX_INQUIRIES,
	MIN_INQUIRY_INTERVAL_MILLISECONDS,
	SILENT_CHECK_DELAY_MILLISECONDS,
	UNDECIDED_LOSS_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';

/**
A request that an upstream lost or leaves unanswered.
*/
export type Loss = {
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly address: core.Address;
	readonly fingerprint: string;
	/**
	Monotonic milliseconds at which the connection was lost, or at which the unanswered request was sent.
	*/
	readonly lostAt: number;
	/**
	Called when the upstream is found to have crashed.
	*/
	readonly onCrash?: () => void;
};

/**
The inquiries of an entry host.
*/
export type CrashInquiries = {
	readonly add: (loss: Loss) => void;
	/**
	Removes the loss of a request that the upstream has answered after all.
	*/
	readonly withdraw: (loss: Loss) => void;
};

/**
How upstreams are checked, and who is told of the result.
*/
export type CrashInquiriesOptions = {
	readonly probe: (loss: Loss) => Promise<proxy.ProbeResult>;
	/**
	Resolves with whether this host reaches other upstreams than the one that failed.
	*/
	readonly confirmReach: (failed: core.UpstreamId) => Promise<boolean>;
	/**
	Returns whether another instance has taken the upstream's name or address.
	*/
	readonly isReplaced: (upstream: core.UpstreamId) => boolean;
	readonly onCrash: (loss: Loss) => void;
	readonly onSilent: (losses: readonly Loss[]) => void;
};

type Inquiry = {
	/**
	Undecided losses by fingerprint.
	*/
	readonly losses: Map<string, Loss>;
	isScheduled: boolean;
	lastProbeAt: number;
	/**
	Probes in a row whose connection was closed without an answer.
	*/
	closedProbes: number;
};

/**
Creates the inquiries; none is in progress.
*/
export function createCrashInquiries(context: FleetContext, options: CrashInquiriesOptions): CrashInquiries {
	const {now} = context;
	const onDefect = createDefectHandler(context, 'crash-inquiry');
	const inquiries = new Map<core.UpstreamId, Inquiry>();

	const schedule = (inquiry: Inquiry, delayMilliseconds: number) => {
		if (inquiry.isScheduled || inquiry.losses.size === 0) {
			return;
		}

		inquiry.isScheduled = true;
		context.schedule(delayMilliseconds, () => {
			utils.runDetached(async () => run(inquiry), error => {
				onDefect(error);
				inquiry.isScheduled = false;
				schedule(inquiry, SILENT_CHECK_DELAY_MILLISECONDS);
			});
		});
	};

	const run = async (inquiry: Inquiry) => {
		const checked = listUndecided(inquiry);
		const [first] = checked;
		if (first === undefined) {
			inquiry.isScheduled = false;
			return;
		}

		inquiry.lastProbeAt = now();
		const result = options.isReplaced(first.upstream) ? 'gone' : await check(first);
		inquiry.isScheduled = false;
		inquiry.closedProbes = result === 'closed' ? inquiry.closedProbes + 1 : 0;
		schedule(inquiry, resultHandlers[result](inquiry, checked));
	};

	/**
	A host that reaches no other upstream cannot tell a crash from a fault of its own paths. To it the upstream is silent, so that its heartbeats decide.
	*/
	const check = async (loss: Loss): Promise<proxy.ProbeResult> => {
		const result = await options.probe(loss);
		const isConclusive = result === 'answered' || result === 'silent' || await options.confirmReach(loss.upstream);
		return isConclusive ? result : 'silent';
	};

	const listUndecided = ({losses}: Inquiry): readonly Loss[] => {
		for (const [fingerprint, {lostAt}] of losses) {
			if (now() - lostAt > UNDECIDED_LOSS_MILLISECONDS) {
				losses.delete(fingerprint);
			}
		}

		return losses.values().toArray();
	};

	const reportCrash = ({losses}: Inquiry) => {
		const crashed = losses.values().toArray();
		losses.clear();
		for (const loss of crashed) {
			options.onCrash(loss);
			loss.onCrash?.();
		}
	};

	/**
	Each returns the milliseconds until the next check, if losses are left.
	*/
	const resultHandlers: Readonly<Record<proxy.ProbeResult, (inquiry: Inquiry, checked: readonly Loss[]) => number>> = {
		answered({losses}, checked) {
			// A request that was lost while the check was in progress may have crashed the upstream after it answered.
			for (const {fingerprint} of checked) {
				losses.delete(fingerprint);
			}

			return MIN_INQUIRY_INTERVAL_MILLISECONDS;
		},
		gone(inquiry) {
			reportCrash(inquiry);
			return MIN_INQUIRY_INTERVAL_MILLISECONDS;
		},
		closed(inquiry) {
			if (inquiry.closedProbes >= CLOSED_PROBES_OF_CRASH) {
				reportCrash(inquiry);
			}

			return CLOSED_CHECK_DELAY_MILLISECONDS;
		},
		silent(_inquiry, checked) {
			options.onSilent(checked);
			return SILENT_CHECK_DELAY_MILLISECONDS;
		},
	};

	return {
		add(loss) {
			const inquiry = inquiries.get(loss.upstream) ?? {
				losses: new Map(), isScheduled: false, lastProbeAt: -Infinity, closedProbes: 0,
			};
			utils.setBounded(inquiries, loss.upstream, inquiry, MAX_INQUIRIES);
			if (!inquiry.losses.has(loss.fingerprint)) {
				inquiry.losses.set(loss.fingerprint, loss);
			}

			schedule(inquiry, Math.max(FIRST_CHECK_DELAY_MILLISECONDS, inquiry.lastProbeAt + MIN_INQUIRY_INTERVAL_MILLISECONDS - now()));
		},
		withdraw({upstream, fingerprint}) {
			inquiries.get(upstream)?.losses.delete(fingerprint);
		},
	};
}
