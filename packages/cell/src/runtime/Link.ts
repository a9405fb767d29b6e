import type { Result } from 'ts-results-es'

/** Why no link came about. */
export type LinkFailure = 'refused' | 'silent'

/** A connection between two nodes that carries messages in order. */
export abstract class Link<Incoming, Outgoing> {
  /** Called for each message. */
  onMessage: (message: Incoming) => void = () => {}
  /** Called once, when the link has ended. */
  onClose: (reason: string) => void = () => {}

  abstract send (message: Outgoing): void
  abstract close (): void
}

/** Makes links to other nodes. */
export abstract class LinkConnector<Incoming, Outgoing> {
  /**
   * @param address - `HOST:PORT`
   * @param timeout - ms
   */
  abstract connect (address: string, timeout: number): Promise<Result<Link<Incoming, Outgoing>, LinkFailure>>
}
