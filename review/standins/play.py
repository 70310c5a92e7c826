"""Plays a case and turns its end into the exit status of the script."""

import asyncio
import os
import shutil
import sys
import traceback
from pathlib import Path

from standins.deployment import CannotRun, Deployment, Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LONGEST_S = 115.0


def play(scene, services, zones, folder):
    """Runs a scene and exits with 1 if the rule was broken, 0 if it held.

    :param scene: called with the deployment and whether to disturb it;
        returns what broke the rule, or ''
    :param folder: where ``record.txt`` is written
    """
    record = Record(Path(folder))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    status = COULD_NOT_RUN
    deployment = None
    try:
        deployment = Deployment(services, zones, record)
        broken = asyncio.run(
            asyncio.wait_for(scene(deployment, trouble), LONGEST_S)
        )
        status = BROKEN if broken else HELD
        record.write('verdict', broken or 'the rule held')
        sys.stdout.write(f'{broken or "the rule held"}\n')
    except CannotRun as exc:
        record.write('verdict', f'could not run: {exc}')
        sys.stdout.write(f'could not run: {exc}\n')
    except Exception:
        record.write('verdict', f'could not run: {traceback.format_exc()}')
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.stop_all()
            if not os.environ.get('KEEP'):
                shutil.rmtree(deployment.folder, ignore_errors=True)
            else:
                sys.stdout.write(f'{deployment.folder}\n')
    sys.exit(status)
