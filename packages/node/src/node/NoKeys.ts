import { Err } from '@rattanstep/core'
import type { Result } from '@rattanstep/core'
import { Keys } from '@rattanstep/front'
import type { KeyAnswer, KeySilence } from '@rattanstep/front'

/** Gives no verdict on any key, so that a request that carries one is refused as not run. */
export class NoKeys extends Keys {
  override async claim (): Promise<Result<KeyAnswer, KeySilence>> {
    return Err('no-verdict')
  }

  override settle (): void {}
}
