"""Makes and reads self-signed certificates of fronts."""

from __future__ import annotations

import ipaddress
import os
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from fennelcove.errors import OperatorError

CERTIFICATE, KEY = "certificate.pem", "key.pem"


class CertificateError(OperatorError):
    """A folder has no readable certificate and key, or they can't be written there."""

    code = "certificate-unusable"
    advice = "Check the folder and its permissions; a running front keeps using its current certificate"


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """The contents of a certificate; `fits` is whether the key of its folder belongs to it."""

    names: tuple[str, ...]
    since: datetime
    until: datetime
    fingerprint: str
    fits: bool


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def make(folder: str, names: tuple[str, ...], now: datetime, validity: timedelta) -> None:
    """Make a new key and certificate, and replace each file atomically.

    The key is written first: a front that reads the folder between the two writes finds a pair that does not
    match, and keeps its old one.

    Raises:
        CertificateError: the folder can't be written, or a name is invalid.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0][:64])])
    try:
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(minutes=5))
            .not_valid_after(now + validity)
            .add_extension(
                x509.SubjectAlternativeName([_general_name(name) for name in names]), critical=False
            )
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .sign(key, hashes.SHA256())
        )
        folder_path = Path(folder)
        folder_path.mkdir(parents=True, exist_ok=True)
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        _write_atomically(folder_path / KEY, private)
        _write_atomically(folder_path / CERTIFICATE, certificate.public_bytes(serialization.Encoding.PEM))
    except (OSError, ValueError) as error:
        raise CertificateError(f"found no way to write the certificate and key ({error})", folder) from None


def _write_atomically(path: Path, content: bytes) -> None:
    temporary_path = path.with_name(path.name + ".new")
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.replace(path)


def read(folder: str) -> CertificateInfo:
    """Read the certificate of a folder, and whether its key matches.

    Raises:
        CertificateError: the certificate or the key is missing or unreadable.
    """
    folder_path = Path(folder)
    try:
        certificate = x509.load_pem_x509_certificate((folder_path / CERTIFICATE).read_bytes())
        key = serialization.load_pem_private_key((folder_path / KEY).read_bytes(), None)
    except (OSError, ValueError) as error:
        raise CertificateError(
            f"found no readable certificate and key ({error})", folder, "fennelcove keys new makes them"
        ) from None
    names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    public_key_format = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
    return CertificateInfo(
        tuple(str(name.value) for name in names),
        certificate.not_valid_before_utc,
        certificate.not_valid_after_utc,
        certificate.fingerprint(hashes.SHA256()).hex(),
        certificate.public_key().public_bytes(*public_key_format)
        == key.public_key().public_bytes(*public_key_format),
    )
