"""Client of the administration API, for operators."""

from collections import abc
import urllib.parse

import attrs
import msgspec
from returns import result
import urllib3

from pimentoledge import results
from pimentoledge.operators import api

TIMEOUT_SECONDS = 15.0


@attrs.define(kw_only=True)
class ApiResponse:
    """A response of the administration API.

    Attributes:
        status: HTTP status.
        fields: the JSON body.
        version: version of the object; 0 for none.
        from_local_copy: whether the entry returned its local copy because the
            store was down.
    """

    status: int
    fields: dict[str, object]
    version: int = 0
    from_local_copy: bool = False


class AdminClient:
    """Calls the administration API of one entry; never retries.

    Attributes:
        url: the entry's address, as http://IP:PORT.
        key: the operator's key.
    """

    def __init__(self, *, url: str, key: str):
        self.url = url
        self.key = key
        self._pool: urllib3.PoolManager | None = None

    def start(self) -> None:
        """Opens the connection pool."""
        self._pool = urllib3.PoolManager(retries=False)

    def close(self) -> None:
        """Closes the connections."""
        if self._pool is not None:
            self._pool.clear()

    def read(
        self, path: str, **query: object
    ) -> result.Result[ApiResponse, results.Error]:
        """Reads a path below the API's root, such as "contracts/acme"."""
        return self._call("GET", path, query=query)

    def pages(self, kind: str, limit: int) -> abc.Iterator[result.Result]:
        """Yields all pages of a list in order."""
        cursor = ""
        while cursor is not None:
            page = self.read(kind, limit=limit, cursor=cursor)
            yield page
            cursor = None
            if isinstance(page, result.Success):
                cursor = page.unwrap().fields.get("cursor")

    def write(
        self,
        method: str,
        path: str,
        *,
        fields: dict[str, object] | None = None,
        expected: int,
        dry_run: bool = False,
    ) -> result.Result[ApiResponse, results.Error]:
        """Changes an object if it still has the expected version.

        Args:
            method: PUT, PATCH or DELETE.
            path: path below the API's root.
            fields: the JSON body.
            expected: the expected version; 0 to create the object.
            dry_run: validate the change without writing it.
        """
        condition = {"If-Match": f'"{expected}"'}
        if expected == 0:
            condition = {"If-None-Match": "*"}
        query = {"dry_run": "true"} if dry_run else {}
        return self._call(
            method, path, query=query, headers=condition, fields=fields
        )

    def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, object],
        headers: dict[str, str] | None = None,
        fields: dict[str, object] | None = None,
    ) -> result.Result[ApiResponse, results.Error]:
        url = f"{self.url}{api.API_ROOT}{path}?"
        url += urllib.parse.urlencode(query)
        try:
            response = self._pool.request(
                method,
                url,
                headers={
                    "Authorization": f"Bearer {self.key}",
                    **(headers or {}),
                },
                body=None if fields is None else msgspec.json.encode(fields),
                timeout=TIMEOUT_SECONDS,
            )
            body = msgspec.json.decode(response.data, type=dict[str, object])
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            # The change may have been accepted before the response was lost.
            ran = results.Ran.UNKNOWN
            code = results.Code.UNCONFIRMED
            text = f"no answer of {self.url}: {error}"
            return result.Failure(results.Error(code=code, text=text, ran=ran))
        version = response.headers.get("ETag", '"0"').strip('"')
        api_response = ApiResponse(
            status=response.status,
            fields=body,
            version=int(version),
            from_local_copy=api.SOURCE_HEADER in response.headers,
        )
        return result.Success(api_response)
