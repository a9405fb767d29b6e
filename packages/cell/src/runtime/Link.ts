import type { Result } from 'ts-results-es'

/** Reason for which a link could not be established. */
export type LinkFailure = 'refused' | 'silent'

/** A connection between two nodes that carries messages in order. */
export abstract class Link<Incoming, Outgoing> {
  /** Called for each received message. */
  onMessage: (message: Incoming) => void = () => {}
  /** Called once when the link is closed by the other end or by an error; `close` doesn't call it. */
  onClose: (reason: string) => void = () => {}

  abstract send (message: Outgoing): void
  abstract close (): void
}

/** Establishes links to other nodes. */
export abstract class LinkConnector<Incoming, Outgoing> {
  /**
   * @param address - `HOST:PORT`
   * @param timeout - ms
   * @returns the link, or the reason for the failure
   */
  abstract connect (address: string, timeout: number): Promise<Result<Link<Incoming, Outgoing>, LinkFailure>>
}
